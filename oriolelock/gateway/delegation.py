"""
oriolelock.gateway.delegation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Headers by which one entry delegates a request to another, and their reading.

    The delegating entry has decided route, service and deadline; the other one chooses the endpoint
    and answers with the endpoint's response, or with the reason for its own.
"""

import base64
import binascii
import dataclasses

from oriolelock.gateway import forwarded, signing
from oriolelock.http1 import messages
from oriolelock.wire import codec, errors

__all__ = [
    "COMPLETE",
    "MAX_ORDER_BYTES",
    "Order",
    "outcome_of",
    "read_order",
    "to_peer",
    "with_outcome",
]

ORDER_HEADER = b"oriolelock-delegated"
OUTCOME_HEADER = b"oriolelock-outcome"
COMPLETE = "complete"
# Names of route, service and tried endpoints, base64; added to the limit on a caller's head.
MAX_ORDER_BYTES = 8 * 1024


@codec.register("order")
@dataclasses.dataclass(frozen=True)
class Order:
    """``left_ms`` and ``objective_ms``: time until the deadline and until the latency objective;
    ``tried``: names of endpoints that already received the request."""

    route: str
    service: str
    idempotent: bool
    left_ms: int
    objective_ms: int
    tried: tuple[str, ...]


def to_peer(req: messages.Request, order: Order, token: str) -> messages.Request:
    """Return the request to send to another entry."""
    value = base64.b64encode(signing.sign(codec.encode(order), token))
    return forwarded.with_headers(req, (ORDER_HEADER,), ((ORDER_HEADER, value),))


def read_order(req: messages.Request, token: str) -> tuple[Order, messages.Request] | None:
    """Return the order and the caller's request; None if they are not from this cluster."""
    try:
        data = base64.b64decode(req.header(ORDER_HEADER) or b"", validate=True)
        payload = signing.verify(data, token)
        order = codec.decode(payload) if payload is not None else None
    except (binascii.Error, errors.DecodeError):
        return None
    if not isinstance(order, Order):
        return None
    headers = tuple(pair for pair in req.headers if pair[0] != ORDER_HEADER)
    return order, dataclasses.replace(req, headers=headers)


def with_outcome(response: messages.Response, outcome: str) -> messages.Response:
    """Return a response to the delegating entry."""
    headers = [pair for pair in response.headers if pair[0] != OUTCOME_HEADER]
    headers.append((OUTCOME_HEADER, outcome.encode()))
    return dataclasses.replace(response, headers=tuple(headers))


def outcome_of(response: messages.Response) -> tuple[str, messages.Response]:
    """Return outcome and response of another entry; the outcome is empty if it named none."""
    outcome = (response.header(OUTCOME_HEADER) or b"").decode("latin-1")
    headers = tuple(pair for pair in response.headers if pair[0] != OUTCOME_HEADER)
    return outcome, forwarded.to_caller(dataclasses.replace(response, headers=headers))
