"""
oriolelock.entry.attempt_results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Maps the result of an exchange with an endpoint to a routing result and to an outcome.
"""

from oriolelock import outcomes
from oriolelock.endpoints import results
from oriolelock.entry import forwarding
from oriolelock.routing import result

__all__ = ["combine", "may_retry", "outcome_of", "routing_result"]

KIND_BY_RESULT = {
    results.TimedOut: result.Kind.TIMEOUT,
    results.ConnectionLost: result.Kind.LOST,
    results.InvalidResponse: result.Kind.ERROR,
}
KIND_BY_REFUSAL = {
    "shed": result.Kind.SHED,
    "draining": result.Kind.DRAINING,
    "deadline": result.Kind.DEADLINE,
}
MIN_SERVER_ERROR_STATUS = 500


def _kind_of(res, is_death):
    if is_death:
        return result.Kind.CRASH
    if isinstance(res, results.Completed):
        return result.Kind.ERROR if res.status >= MIN_SERVER_ERROR_STATUS else result.Kind.COMPLETE
    if isinstance(res, results.RefusedByEndpoint):
        return KIND_BY_REFUSAL.get(res.reason, result.Kind.SHED)
    if isinstance(res, results.NotSent):
        # Without a free connection, the attempt says nothing about the endpoint.
        is_own_connection_limit = res.reason == "no-connection"
        return result.Kind.CANCELLED if is_own_connection_limit else result.Kind.REFUSED
    return KIND_BY_RESULT[type(res)]


def routing_result(res: results.Result, size: int, is_death: bool) -> result.Result:
    """Return the result for the router. ``size`` is that of request and response, in bytes."""
    load = getattr(res, "load", None)
    report = load and result.LoadReport(load.in_flight, load.slots, load.queued, load.state)
    return result.Result(_kind_of(res, is_death), res.elapsed_s, size, report)


def outcome_of(res: results.Result) -> outcomes.Outcome:
    """Return the outcome for the caller if this exchange was the last attempt."""
    match res:
        case results.Completed():
            return outcomes.Complete(res.status, forwarding.caller_headers(res.headers), res.body)
        case results.NotSent(reason="no-connection"):
            return outcomes.NotRun("overloaded", 100.0)
        case results.NotSent():
            return outcomes.NotRun("no-endpoint")
        case results.RefusedByEndpoint():
            return outcomes.NotRun("endpoint-refused", 100.0)
        case results.TimedOut():
            return outcomes.Unknown("timeout")
        case results.ConnectionLost():
            return outcomes.Unknown("connection-lost")
    return outcomes.Unknown("bad-answer")


def combine(earlier: outcomes.Outcome, latest: outcomes.Outcome) -> outcomes.Outcome:
    """Return the outcome of two attempts together.

    If the earlier one may have run, a refusal of the latest does not change that.
    """
    if isinstance(earlier, outcomes.Unknown) and isinstance(latest, outcomes.NotRun):
        return earlier
    return latest


def may_retry(res: results.Result, idempotent: bool) -> bool:
    """Return whether another attempt is safe after this one."""
    if isinstance(res, results.NotSent | results.RefusedByEndpoint):
        return True
    return idempotent and isinstance(res, results.ConnectionLost | results.InvalidResponse)
