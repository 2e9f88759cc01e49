"""
oriolelock.lookup.entry_choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which entries a caller should connect to, by where it is.
"""

import collections.abc

from oriolelock.model import configuration, member

__all__ = ["MAX_ENTRIES", "choose"]

# With fewer entries near the caller, the next place is added, so that one may fail.
ENOUGH = 2
MAX_ENTRIES = 32


def _home_regions(cfg, host):
    """Return the regions where requests of ``host`` may run; empty for any."""
    regions: set[str] = set()
    for item in cfg.table.routes.values():
        if item.host == host:
            if not item.regions:
                return set()
            regions |= set(item.regions)
    return regions


def choose(
    cfg: configuration.Configuration,
    host: str,
    region: str,
    domain: str,
    leaving: collections.abc.Set[str] = frozenset(),
) -> list[member.Member]:
    """Return entries for a caller of ``host``: its failure domain, its region, then others.

    ``leaving``: names known to stop before the configuration says so.
    """
    live = [
        item
        for item in cfg.members.values()
        if item.role == "entry" and item.state == "live" and item.name not in leaving
    ]
    chosen: list[member.Member] = []
    homes = _home_regions(cfg, host)
    tests = (
        lambda item: item.failure_domain == domain,
        lambda item: item.region == region,
        lambda item: not homes or item.region in homes or item.region == region,
        lambda item: True,
    )
    for test in tests:
        chosen = [item for item in live if test(item)]
        if len(chosen) >= ENOUGH:
            break
    return sorted(chosen, key=lambda item: item.name)[:MAX_ENTRIES]
