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

__all__ = ["SAMPLES", "Measure", "check"]

# One look at a few slots says little: a burst would refuse a drain that is safe.
SAMPLES = 5

Measure = collections.abc.Callable[
    [collections.abc.Collection[endpoint.Endpoint]], dict[str, load_report.LoadReport]
]


def check(cfg: configuration.Configuration, planned: drain.Drain, measure: Measure) -> None:
    """Raise InvalidData with the figures when too few slots would remain for the load.

    ``measure`` is called ``SAMPLES`` times and the mean counts. Endpoints that do not answer
    count as idle; the rule on slots still holds for them.
    """
    all_drains = [*cfg.drains.values(), planned]
    live = [e for e in cfg.endpoints.values() if e.state == "live"]
    affected = {e.service for e in live if drains.find_covering([planned], e)}
    asked = [e for e in live if e.service in affected]
    samples = [measure(asked) for _ in range(SAMPLES if asked else 0)]
    for service in sorted(affected):
        found = [e for e in live if e.service == service]
        busy = sum(_busy(loads, found) for loads in samples) / SAMPLES
        left = sum(e.slots for e in found if not drains.find_covering(all_drains, e))
        if busy > left:
            raise errors.InvalidData(
                f"service {service} has {busy:.1f} requests running or queued on average, and "
                f"{left} slots would remain"
            )


def _busy(loads, found):
    reports = [loads[e.name] for e in found if e.name in loads]
    return sum(report.in_flight + report.queued for report in reports)
