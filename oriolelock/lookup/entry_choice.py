"""
oriolelock.lookup.entry_choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which entries a caller should connect to, by where it is and who has reported lately.
"""

import collections.abc

from oriolelock.model import configuration, member

__all__ = ["MAX_ENTRIES", "choose"]

# With fewer entries near the caller, the next place is added, so that one may fail.
ENOUGH = 2
MAX_ENTRIES = 32
# Entries report each second and reports take up to half a second between replicas.
FRESH_S = 2.6


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
    ages: collections.abc.Mapping[str, float],
    leaving: collections.abc.Set[str],
    region: str,
    domain: str,
) -> list[member.Member]:
    """Return entries for a caller of ``host``: its failure domain, its region, then others.

    ``ages``: seconds since the latest report by name; ``leaving``: names that report a stop.
    Silent entries are used when no other is left, which says more about the reports.
    """
    live = [
        item
        for item in cfg.members.values()
        if item.role == "entry" and item.state == "live" and item.name not in leaving
    ]
    fresh = [item for item in live if ages.get(item.name, FRESH_S + 1) <= FRESH_S] or live
    chosen: list[member.Member] = []
    homes = _home_regions(cfg, host)
    tests = (
        lambda item: item.failure_domain == domain,
        lambda item: item.region == region,
        lambda item: not homes or item.region in homes or item.region == region,
        lambda item: True,
    )
    for test in tests:
        chosen = [item for item in fresh if test(item)]
        if len(chosen) >= ENOUGH:
            break
    return sorted(chosen, key=lambda item: item.name)[:MAX_ENTRIES]
