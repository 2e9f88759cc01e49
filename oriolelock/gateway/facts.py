"""
oriolelock.gateway.facts
~~~~~~~~~~~~~~~~~~~~~~~~

    Classifies responses of endpoints, including those to health checks.
"""

import dataclasses
import math
import re

from oriolelock.dispatch import endpoint_limits, endpoint_view
from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import messages

__all__ = ["ResponseFacts", "classify", "health", "parse_pause", "parse_rate_limit"]

MISDIRECTED_STATUS = 421
# Statuses that assure the caller that its request was not and will not be run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses with which an endpoint may name a time in which it wants no requests.
PAUSE_STATUSES = (429, 503)
RETRY_AFTER = b"retry-after"
SECONDS = re.compile(rb"\d{1,15}(?:\.\d{1,15})?")


@dataclasses.dataclass(frozen=True)
class ResponseFacts:
    """Classification of a response.

    ``not_run``: the endpoint did not run the request; ``misdirected``: another endpoint answered;
    ``genuine``: the response may be passed on as this endpoint's; ``failed``: the endpoint failed;
    ``implies_not_run``: its status tells the caller that the request was not run;
    ``rate_limit``: requests per second that the endpoint takes, ``endpoint_limits.UNLIMITED`` if it
    announces no limit, None if the announcement is malformed; ``leaving``: the endpoint ends soon;
    ``pause_s``: seconds in which it wants no further requests, 0 for none.
    """

    not_run: bool
    misdirected: bool
    genuine: bool
    failed: bool
    implies_not_run: bool
    load: endpoint_view.Load | None
    rate_limit: float | None
    leaving: bool
    pause_s: float


def parse_pause(response: messages.Response) -> float:
    """Return the longest time in a response's ``Retry-After`` headers in seconds, 0 for none.

    Only refusals name such a time. What is not a number of seconds is ignored.
    """
    if response.status not in PAUSE_STATUSES:
        return 0.0
    values = [value.strip() for name, value in response.headers if name == RETRY_AFTER]
    return max((float(value) for value in values if SECONDS.fullmatch(value)), default=0.0)


def _is_leaving(response, dialect):
    return any(
        name == dialect.leaving and value.strip() == b"1" for name, value in response.headers
    )


def parse_rate_limit(header: bytes | None) -> float | None:
    """Return requests per second, ``UNLIMITED`` without a header, or None if it is malformed."""
    if header is None:
        return endpoint_limits.UNLIMITED
    try:
        rate = float(header)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None


def classify(response: messages.Response, dialect: dialects.Dialect) -> ResponseFacts:
    """Classify a response."""
    load = response.header(dialect.load)
    not_run = response.header(dialect.not_run) is not None or response.status == MISDIRECTED_STATUS
    genuine = not dialect.stamp or response.header(dialect.stamp) is not None
    misdirected = response.status == MISDIRECTED_STATUS
    genuine = genuine or not 200 <= response.status < 300
    return ResponseFacts(
        not_run=not_run,
        misdirected=misdirected,
        genuine=genuine,
        failed=not not_run and response.status >= 500,
        implies_not_run=response.status in NOT_RUN_STATUSES,
        load=dialect.parse_load(load) if load else None,
        rate_limit=parse_rate_limit(response.header(dialect.rate_limit)),
        # Another endpoint at the address speaks for itself only.
        leaving=genuine and not misdirected and _is_leaving(response, dialect),
        pause_s=0.0 if misdirected else parse_pause(response),
    )


def health(response: messages.Response, dialect: dialects.Dialect) -> endpoint_view.Health:
    """Return the result of a health check; a refusal because of load counts as healthy."""
    not_run = response.header(dialect.not_run) is not None
    cold_header = response.header(dialect.cold_ms) or b""
    try:
        cold_ms = float(cold_header) if cold_header else 0.0
    except ValueError:
        cold_ms = 0.0
    return endpoint_view.Health(
        is_healthy=response.status == 200 or not_run,
        endpoint_id=(response.header(dialect.endpoint_id) or b"").decode("latin-1"),
        cold_ms=cold_ms,
        is_leaving=_is_leaving(response, dialect),
        pause_s=parse_pause(response),
        # A refusal because of load need not say it.
        tells_cold=response.status == 200 or bool(cold_header),
    )
