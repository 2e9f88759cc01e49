"""
oriolelock.entry.connection_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    How many connections one entry may have to an endpoint that all entries share.
"""

from oriolelock.model import configuration, endpoint

__all__ = ["connection_limit", "count_entries"]


def count_entries(cfg: configuration.Configuration) -> int:
    """Return the number of configured entries, at least 1."""
    return max(1, sum(1 for m in cfg.members.values() if m.role == "entry"))


def connection_limit(entries: int, item: endpoint.Endpoint) -> int:
    """Return how many connections one of ``entries`` may have to ``item``, at least 1.

    Divided by the configured entries, not the visible ones, so that entries that do not see
    each other still keep to the endpoint's limit together.
    """
    return max(1, item.connections // entries)
