"""
oriolelock.gateway.facts
~~~~~~~~~~~~~~~~~~~~~~~~

    What an answer of an endpoint says about the request and the endpoint.
"""

import dataclasses

from oriolelock.dispatch import endpoint_view
from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import messages

__all__ = ["AnswerFacts", "health", "read"]

MISDIRECTED = 421
# Statuses that promise the caller that its request has not run and never will.
PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True)
class AnswerFacts:
    """``not_run``: the endpoint did not run it; ``misdirected``: it is another endpoint;
    ``genuine``: it can be passed on as this endpoint's answer; ``failed``: an error of the
    endpoint itself; ``promises``: its status says "not run"."""

    not_run: bool
    misdirected: bool
    genuine: bool
    failed: bool
    promises: bool
    load: endpoint_view.Load | None


def read(response: messages.Response, words: dialects.Dialect) -> AnswerFacts:
    """Return the facts of an answer."""
    load = response.header(words.load)
    not_run = response.header(words.not_run) is not None or response.status == MISDIRECTED
    genuine = not words.stamp or response.header(words.stamp) is not None
    return AnswerFacts(
        not_run=not_run,
        misdirected=response.status == MISDIRECTED,
        genuine=genuine or not 200 <= response.status < 300,
        failed=not not_run and response.status >= 500,
        promises=response.status in PROMISES,
        load=words.parse_load(load) if load else None,
    )


def health(response: messages.Response, words: dialects.Dialect) -> endpoint_view.Health:
    """Return what a health check tells; a refusal for its load is no sign of bad health."""
    not_run = response.header(words.not_run) is not None
    cold = response.header(words.cold_ms) or b""
    try:
        cold_ms = float(cold) if cold else 0.0
    except ValueError:
        cold_ms = 0.0
    return endpoint_view.Health(
        is_healthy=response.status == 200 or not_run,
        endpoint_id=(response.header(words.endpoint_id) or b"").decode("latin-1"),
        cold_ms=cold_ms,
    )
