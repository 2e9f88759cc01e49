"""
oriolelock.routing.selection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Chooses an endpoint for an attempt within one region.
"""

import collections.abc
import dataclasses

from oriolelock.admission import limiter
from oriolelock.routing import choice, service_routes

__all__ = ["Attempt", "choose_in", "find_probe"]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """Parameters of the choice for one attempt.

    ``size``: expected bytes; ``exclude``: names of endpoints already tried.
    """

    operation: str
    idempotent: bool
    size: int
    now: float
    rng: object
    exclude: collections.abc.Collection[str]


def find_probe(
    routes: service_routes.ServiceRoutes, region: str, attempt: Attempt
) -> service_routes.Route | None:
    """Return an ejected endpoint of the region that this attempt may probe, or None."""
    ejected = routes.ejector.ejected
    if not ejected:
        return None
    for route in routes.by_region.get(region, ()):
        if route.name not in ejected or route.name in attempt.exclude or route.work_share <= 0.0:
            continue
        if routes.ejector.may_probe(route.name, attempt.idempotent, attempt.now):
            return route
    return None


def choose_in(
    routes: service_routes.ServiceRoutes,
    region: str,
    is_remote: bool,
    attempt: Attempt,
    limits: limiter.Limiter,
    pick: collections.abc.Callable,
    within_ramps: bool = False,
) -> choice.Choice | None:
    """Return the choice within a region, or None if no endpoint may take the attempt.

    ``within_ramps``: none in a slow start takes more than its share, even if no other is left.
    """
    size = attempt.size if is_remote else 0
    probe = find_probe(routes, region, attempt)
    if probe:
        return _make_choice(probe.load, attempt, is_remote, True, size)
    candidates = _candidates(routes, region, attempt, limits, within_ramps)
    if not candidates:
        return None
    endpoint_load = pick(candidates, attempt.now, attempt.rng)
    return _make_choice(endpoint_load, attempt, is_remote, False, size)


def _make_choice(endpoint_load, attempt, is_remote, is_probe, size):
    return choice.Choice(
        endpoint_load.endpoint,
        attempt.operation,
        endpoint_load,
        endpoint_load.start,
        is_remote,
        is_probe,
        size,
    )


def _candidates(routes, region, attempt, limits, within_ramps):
    preferred, fallback = [], []
    for route in routes.by_region.get(region, ()):
        if not routes.accepts_new_work(route) or route.name in attempt.exclude:
            continue
        limit = limits.limit(route.name, attempt.now)
        if route.ramp_share < 1.0:
            # The random choice below does not protect cold endpoints if no others are left, so
            # their limit is reduced as well.
            limit = min(limit, max(1, int(limit * route.ramp_share)))
        if route.load.in_flight >= limit:
            continue
        is_within_ramp = route.ramp_share >= 1.0 or attempt.rng.random() < route.ramp_share
        is_within_drain = route.work_share >= 1.0 or attempt.rng.random() < route.work_share
        if is_within_ramp and is_within_drain:
            preferred.append(route.load)
        elif is_within_ramp or not within_ramps:
            fallback.append(route.load)
    return preferred or fallback
