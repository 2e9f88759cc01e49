"""
oriolelock.entry.connection_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One entry's share of the connections that an endpoint allows.
"""

from oriolelock.model import configuration, endpoint

__all__ = ["connection_limit", "count_entries"]


def count_entries(cfg: configuration.Configuration) -> int:
    """Return the number of configured entries, at least 1."""
    return max(1, sum(1 for m in cfg.members.values() if m.role == "entry"))


def connection_limit(entries: int, target: endpoint.Endpoint) -> int:
    """Return how many connections one of ``entries`` may have to ``target``, at least 1.

    ``entries`` counts the configured entries, not the live ones, so that entries that can't see
    each other still keep the endpoint's limit together.
    """
    return max(1, target.connections // entries)
