"""
oriolelock.entry.reply
~~~~~~~~~~~~~~~~~~~~~~

    The reply to a caller: outcome, HTTP status and outcome headers.
"""

import dataclasses
import math

from oriolelock import outcomes

__all__ = ["VERSION_HEADER", "Reply", "outcome_headers", "status_of"]

NOT_RUN_STATUS = {
    "bad-request": 400,
    "deadline-missing": 400,
    "key-missing": 400,
    "key-expired": 400,
    "unknown-service": 404,
    "body-too-large": 413,
    "headers-too-large": 431,
    "key-mismatch": 422,
    "queue-full": 429,
    "overloaded": 429,
}
UNKNOWN_STATUS = {"in-progress": 409, "timeout": 504}
DEFAULT_NOT_RUN_STATUS = 503
DEFAULT_UNKNOWN_STATUS = 502
VERSION_HEADER = "Oriolelock-Config-Version"


@dataclasses.dataclass(frozen=True)
class Reply:
    """The outcome of one request, and the version of the configuration that was applied."""

    outcome: outcomes.Outcome
    request_id: str
    version: int


def status_of(outcome: outcomes.Outcome) -> int:
    """Return the HTTP status for ``outcome``."""
    if isinstance(outcome, outcomes.Complete):
        return outcome.status
    if isinstance(outcome, outcomes.NotRun):
        return NOT_RUN_STATUS.get(outcome.reason, DEFAULT_NOT_RUN_STATUS)
    return UNKNOWN_STATUS.get(outcome.reason, DEFAULT_UNKNOWN_STATUS)


def outcome_headers(caller_reply: Reply) -> list[tuple[str, str]]:
    """Return the headers that every response carries."""
    outcome = caller_reply.outcome
    outcome_name, reason = "complete", "ok"
    if isinstance(outcome, outcomes.NotRun):
        outcome_name, reason = "not-run", outcome.reason
    elif isinstance(outcome, outcomes.Unknown):
        outcome_name, reason = "unknown", outcome.reason
    headers = [
        ("Oriolelock-Outcome", outcome_name),
        ("Oriolelock-Reason", reason),
        ("Oriolelock-Request-Id", caller_reply.request_id),
        (VERSION_HEADER, str(caller_reply.version)),
    ]
    if isinstance(outcome, outcomes.NotRun) and outcome.retry_after_ms > 0:
        headers.append(("Retry-After", str(math.ceil(outcome.retry_after_ms / 1000))))
    return headers
