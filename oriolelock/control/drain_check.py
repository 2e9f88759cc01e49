"""
oriolelock.control.drain_check
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Whether the endpoints that a drain leaves can carry the work that now runs.

    The rule of ``model.validation`` counts slots and is part of the replicated state; this one
    measures, and so is applied once, before a drain is proposed.
"""

import collections.abc

from oriolelock.endpoints import load_report
from oriolelock.model import configuration, drain, endpoint, errors
from oriolelock.routing import drains

__all__ = ["USABLE_SHARE", "Measure", "check"]

# Above this share of the slots in use, waiting grows quickly.
USABLE_SHARE = 0.8

Measure = collections.abc.Callable[
    [collections.abc.Collection[endpoint.Endpoint]], dict[str, load_report.LoadReport]
]


def check(cfg: configuration.Configuration, planned: drain.Drain, measure: Measure) -> None:
    """Raise InvalidData with the figures when too few slots would remain for the load.

    Endpoints that do not answer count as idle; the rule on slots still holds for them.
    """
    all_drains = [*cfg.drains.values(), planned]
    live = [e for e in cfg.endpoints.values() if e.state == "live"]
    affected = {e.service for e in live if drains.matching([planned], e)}
    loads = measure([e for e in live if e.service in affected])
    for service in sorted(affected):
        found = [e for e in live if e.service == service]
        reports = [loads[e.name] for e in found if e.name in loads]
        busy = sum(report.in_flight + report.queued for report in reports)
        left = sum(e.slots for e in found if not drains.matching(all_drains, e))
        if busy > USABLE_SHARE * left:
            raise errors.InvalidData(
                f"service {service} has {busy} requests running or queued, and the {left} slots "
                f"that remain should carry at most {int(USABLE_SHARE * left)}"
            )
