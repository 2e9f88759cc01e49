"""
oriolelock.routing.feedback
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What the end of an attempt says about its endpoint.

    A connection that went silent, a cancelled request and a death by a crashing request say
    nothing about load or health under load.
"""

from oriolelock.admission import limiter
from oriolelock.routing import choice, result, service_routes

__all__ = ["apply"]

FAILURES = (result.Kind.ERROR, result.Kind.TIMEOUT, result.Kind.LOST)


def apply(
    routes: service_routes.ServiceRoutes,
    route: service_routes.Route,
    limits: limiter.Limiter,
    used: choice.Choice,
    res: result.Result,
    in_flight: int,
    now: float,
) -> None:
    """Pass a result on to load, ejection and limits; ``in_flight`` counts this request."""
    kind, view, ejector = res.kind, route.view, routes.ejector
    if kind is result.Kind.COMPLETE:
        ratio = routes.shared.observe_latency(used.operation, res.latency_s)
        view.observe_latency(ratio, now)
        limits.completed(route.name, used.operation, res.latency_s, in_flight, now)
        if ejector.succeeded(route.name, ratio, now):
            route.start_ramp(now)
    elif kind in FAILURES:
        view.observe_error(now)
        ejector.failed(route.name, now)
    elif kind is result.Kind.REFUSED:
        ejector.refused(route.name, now)
    elif kind is result.Kind.CRASH:
        ejector.crashed(route.name, now)
    elif kind is result.Kind.SHED:
        view.observe_shed(now)
        limits.shed(route.name, now)
    elif kind is result.Kind.DRAINING:
        route.draining_at = now
        route.drained = 0.0
    if used.probe:
        ejector.probe_ended(route.name)
