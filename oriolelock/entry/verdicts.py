"""
oriolelock.entry.verdicts
~~~~~~~~~~~~~~~~~~~~~~~~~

    Translates the end of an exchange into what routing needs to know, and into an outcome.
"""

from oriolelock import outcomes
from oriolelock.endpoints import results
from oriolelock.entry import forwarding
from oriolelock.routing import result

__all__ = ["may_retry", "outcome_of", "to_routing", "worse"]

KINDS = {
    results.TimedOut: result.Kind.TIMEOUT,
    results.ConnectionLost: result.Kind.LOST,
    results.InvalidResponse: result.Kind.ERROR,
}
REFUSALS = {
    "shed": result.Kind.SHED,
    "draining": result.Kind.DRAINING,
    "deadline": result.Kind.DEADLINE,
}
SERVER_ERROR = 500


def _kind_of(res, is_death):
    if is_death:
        return result.Kind.CRASH
    if isinstance(res, results.Completed):
        return result.Kind.ERROR if res.status >= SERVER_ERROR else result.Kind.COMPLETE
    if isinstance(res, results.RefusedByEndpoint):
        return REFUSALS.get(res.reason, result.Kind.SHED)
    if isinstance(res, results.NotSent):
        # Without a free connection nothing was learned about the endpoint.
        is_own_limit = res.reason == "no-connection"
        return result.Kind.CANCELLED if is_own_limit else result.Kind.REFUSED
    return KINDS[type(res)]


def to_routing(res: results.Result, size: int, is_death: bool) -> result.Result:
    """Return the result for the router. ``size``: bytes of request and response."""
    load = getattr(res, "load", None)
    report = load and result.LoadReport(load.in_flight, load.slots, load.queued, load.state)
    return result.Result(_kind_of(res, is_death), res.elapsed_s, size, report)


def outcome_of(res: results.Result) -> outcomes.Outcome:
    """Return what an exchange means for the caller if it was the last one."""
    match res:
        case results.Completed():
            return outcomes.Complete(res.status, forwarding.to_caller(res.headers), res.body)
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


def worse(earlier: outcomes.Outcome, latest: outcomes.Outcome) -> outcomes.Outcome:
    """Return the outcome of both attempts together.

    An attempt that was refused says nothing about an earlier one that may have run.
    """
    if isinstance(earlier, outcomes.Unknown) and isinstance(latest, outcomes.NotRun):
        return earlier
    return latest


def may_retry(res: results.Result, idempotent: bool) -> bool:
    """Return whether another attempt is safe after this one."""
    if isinstance(res, results.NotSent | results.RefusedByEndpoint):
        return True
    return idempotent and isinstance(res, results.ConnectionLost | results.InvalidResponse)
