"""
oriolelock.routing.feedback
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Updates load, health and limits of an endpoint from the result of an attempt.

    A silent connection, a cancelled request and a crash caused by a request say nothing about
    the load of the endpoint or its health under load. What was sent before a start of the endpoint
    says nothing about the process that runs now.
"""

from oriolelock.admission import limiter
from oriolelock.routing import choice, result, service_routes

__all__ = ["apply"]

FAILURES = (result.Kind.ERROR, result.Kind.TIMEOUT, result.Kind.LOST)
OBSERVATIONS = (result.Kind.COMPLETE, *FAILURES, result.Kind.SHED)
# Nothing listens at the address, so the process that ran there has probably ended.
ENDS = (result.Kind.REFUSED, result.Kind.CRASH)


def apply(
    routes: service_routes.ServiceRoutes,
    route: service_routes.Route,
    limits: limiter.Limiter,
    chosen: choice.Choice,
    res: result.Result,
    in_flight: int,
    now: float,
) -> None:
    """Apply a result to load, ejection and limits; ``in_flight`` includes this request."""
    if chosen.start == route.load.start or res.kind not in OBSERVATIONS:
        _apply(routes, route, limits, chosen, res, in_flight, now)
    if chosen.is_probe:
        routes.ejector.record_probe_end(route.name)


def _apply(routes, route, limits, chosen, res, in_flight, now):
    kind, endpoint_load, ejector = res.kind, route.load, routes.ejector
    if kind is result.Kind.COMPLETE:
        latency_ratio = routes.averages.observe_latency(chosen.operation, res.latency_s)
        endpoint_load.observe_latency(latency_ratio, now)
        limits.record_completion(route.name, chosen.operation, res.latency_s, in_flight, now)
        if ejector.record_success(route.name, latency_ratio, now):
            route.start_ramp(now)
    elif kind in FAILURES:
        endpoint_load.observe_error(now)
        ejector.record_failure(route.name, now)
    elif kind in ENDS:
        if route.name not in ejector.ejected or chosen.is_probe:
            route.restart(now)
            limits.forget(route.name)
        record = ejector.record_crash if kind is result.Kind.CRASH else ejector.record_refusal
        record(route.name, now)
    elif kind is result.Kind.SHED:
        endpoint_load.observe_shed(now)
        limits.record_shed(route.name, now)
    elif kind is result.Kind.DRAINING:
        route.drain_reported_at = now
        route.work_share = 0.0
