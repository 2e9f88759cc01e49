"""
oriolelock.routing.selection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which endpoint of one region takes an attempt.
"""

import collections.abc
import dataclasses

from oriolelock.admission import limiter
from oriolelock.routing import choice, service_routes

__all__ = ["Attempt", "choose_in", "find_probe"]


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """``size``: expected bytes; ``exclude``: names of endpoints that were tried before."""

    operation: str
    idempotent: bool
    size: int
    now: float
    rng: object
    exclude: collections.abc.Collection[str]


def find_probe(
    routes: service_routes.ServiceRoutes, region: str, attempt: Attempt
) -> service_routes.Route | None:
    """Return an ejected endpoint of the region that this attempt may test, or None."""
    out = routes.ejector.out
    if not out:
        return None
    for route in routes.by_region.get(region, ()):
        if route.name not in out or route.name in attempt.exclude or route.drained <= 0.0:
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
) -> choice.Choice | None:
    """Return the choice within a region, or None when no endpoint may take the attempt."""
    size = attempt.size if is_remote else 0
    probe = find_probe(routes, region, attempt)
    if probe:
        return choice.Choice(probe.view.endpoint, attempt.operation, is_remote, True, size)
    candidates = _candidates(routes, region, attempt, limits)
    if not candidates:
        return None
    view = pick(candidates, attempt.now, attempt.rng)
    return choice.Choice(view.endpoint, attempt.operation, is_remote, False, size)


def _candidates(routes, region, attempt, limits):
    full_share, reduced = [], []
    for route in routes.by_region.get(region, ()):
        if not routes.is_open(route) or route.name in attempt.exclude:
            continue
        limit = limits.limit(route.name, attempt.now)
        if route.ramp < 1.0:
            # Chance alone would send everything to cold endpoints when no others are left.
            limit = min(limit, max(1, int(limit * route.ramp)))
        if route.view.in_flight >= limit:
            continue
        part = route.drained * route.ramp
        passes = part >= 1.0 or attempt.rng.random() < part
        (full_share if passes else reduced).append(route.view)
    return full_share or reduced
