"""
oriolelock.lookup.entry_choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Selects the entries that a caller should connect to, by location.
"""

import collections.abc

from oriolelock.model import configuration, member

__all__ = ["MAX_ENTRIES", "choose"]

# With fewer entries in a scope, the next wider scope is used, so that one entry may fail.
MIN_ENTRIES = 2
MAX_ENTRIES = 32


def _allowed_regions(cfg, host):
    """Return the regions where requests for ``host`` may run; empty means any region."""
    regions: set[str] = set()
    for route in cfg.table.routes.values():
        if route.host == host:
            if not route.regions:
                return set()
            regions |= set(route.regions)
    return regions


def choose(
    cfg: configuration.Configuration,
    host: str,
    region: str,
    failure_domain: str,
    leaving: collections.abc.Set[str] = frozenset(),
) -> list[member.Member]:
    """Return entries for a caller of ``host``, from the narrowest sufficient scope.

    The scopes are the failure domain of the caller, its region, its region plus those allowed
    for ``host``, and all regions. ``leaving``: names of entries known to be leaving before the
    configuration shows it.
    """
    live = [
        entry
        for entry in cfg.members.values()
        if entry.role == "entry" and entry.state == "live" and entry.name not in leaving
    ]
    candidates: list[member.Member] = []
    allowed_regions = _allowed_regions(cfg, host)
    scopes = (
        lambda entry: entry.failure_domain == failure_domain,
        lambda entry: entry.region == region,
        lambda entry: not allowed_regions
        or entry.region in allowed_regions
        or entry.region == region,
        lambda entry: True,
    )
    for in_scope in scopes:
        candidates = [entry for entry in live if in_scope(entry)]
        if len(candidates) >= MIN_ENTRIES:
            break
    return sorted(candidates, key=lambda entry: entry.name)[:MAX_ENTRIES]
