"""
oriolelock.control.drain_check
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Checks that the endpoints that remain after a drain can carry the current load.

    The check in ``model.validation`` counts slots and runs in the replicated state machine. This
    one depends on measured load, so it runs once, before the drain is proposed.
"""

import collections.abc

from oriolelock.endpoints import load_report
from oriolelock.model import configuration, drain, endpoint, errors
from oriolelock.routing import drains

__all__ = ["SAMPLES", "Measure", "check"]

# With a single sample, a short burst would get a safe drain refused.
SAMPLES = 5

Measure = collections.abc.Callable[
    [collections.abc.Collection[endpoint.Endpoint]], dict[str, load_report.LoadReport]
]


def check(cfg: configuration.Configuration, planned: drain.Drain, measure: Measure) -> None:
    """Raise InvalidData if the mean load of a service exceeds the slots that would remain.

    ``measure`` is called ``SAMPLES`` times. Endpoints that do not answer count as idle; the slot
    check of ``model.validation`` still covers them.
    """
    all_drains = [*cfg.drains.values(), planned]
    live = [e for e in cfg.endpoints.values() if e.state == "live"]
    affected = {e.service for e in live if drains.find_covering([planned], e)}
    measured = [e for e in live if e.service in affected]
    samples = [measure(measured) for _ in range(SAMPLES if measured else 0)]
    for service in sorted(affected):
        endpoints = [e for e in live if e.service == service]
        busy = sum(_requests_in_progress(loads, endpoints) for loads in samples) / SAMPLES
        remaining = sum(e.slots for e in endpoints if not drains.find_covering(all_drains, e))
        if busy > remaining:
            raise errors.InvalidData(
                f"service {service} has {busy:.1f} requests running or queued on average, and "
                f"{remaining} slots would remain"
            )


def _requests_in_progress(loads, endpoints):
    reports = [loads[e.name] for e in endpoints if e.name in loads]
    return sum(report.in_flight + report.queued for report in reports)
