"""
oriolelock.entry.candidates
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The endpoints that may receive new work of a service.
"""

import collections.abc

from oriolelock.model import configuration, endpoint

__all__ = ["connection_limit", "count_entries", "of_service"]


def of_service(
    cfg: configuration.Configuration,
    service: str,
    wall_s: float,
    tried: collections.abc.Set[str] = frozenset(),
) -> list[endpoint.Endpoint]:
    """Return the live endpoints of ``service`` that are not in ``tried`` (names).

    Endpoints whose drain has passed its deadline (Unix time ``wall_s``) are left out; those
    that are draining are left out while there are others.
    """
    live = [
        e
        for e in cfg.endpoints.values()
        if e.service == service and e.state == "live" and e.name not in tried
    ]
    allowed = [e for e in live if not _is_drained(cfg, e, wall_s, "deadline_s")]
    return [e for e in allowed if not _is_drained(cfg, e, wall_s, "start_s")] or allowed


def _is_drained(cfg, item, wall_s, since):
    names = {
        "endpoint": item.name,
        "failure_domain": item.failure_domain,
        "region": item.region,
    }
    return any(
        getattr(d, since) <= wall_s and names.get(d.scope) == d.target for d in cfg.drains.values()
    )


def count_entries(cfg: configuration.Configuration) -> int:
    """Return the number of configured entries, at least 1."""
    return max(1, sum(1 for m in cfg.members.values() if m.role == "entry"))


def connection_limit(entries: int, item: endpoint.Endpoint) -> int:
    """Return how many connections one of ``entries`` may have to ``item``, at least 1.

    Divided by the configured entries, not the visible ones, so that entries that do not see
    each other still keep to the endpoint's limit together.
    """
    return max(1, item.connections // entries)
