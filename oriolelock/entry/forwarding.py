"""
oriolelock.entry.forwarding
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which headers pass between caller and endpoint, and the digests of a request.
"""

import collections.abc

import xxhash

from oriolelock.entry import caller_request

__all__ = ["body_digest", "fingerprint", "to_caller", "to_endpoint"]

HOP_BY_HOP = frozenset(
    [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ]
)
OWN_REQUEST = frozenset(
    ["host", "content-length", "expect", "x-request-id", "x-deadline-ms", "x-attempt"]
)
OWN_ANSWER = frozenset(["content-length", "x-request-id", "x-load", "x-state", "x-not-run"])
OWN_PREFIX = "oriolelock-"

Headers = tuple[tuple[str, str], ...]


def _listed_in_connection(headers):
    values = (value for name, value in headers if name.lower() == "connection")
    return {part.strip().lower() for value in values for part in value.split(",")}


def _filtered(
    headers: Headers, own: collections.abc.Set[str], kept: str = ""
) -> collections.abc.Iterator[tuple[str, str]]:
    dropped = HOP_BY_HOP | own | _listed_in_connection(headers)
    for name, value in headers:
        lowered = name.lower()
        if lowered == kept or not (lowered in dropped or lowered.startswith(OWN_PREFIX)):
            yield name, value


def to_endpoint(headers: Headers) -> Headers:
    """Return the caller's headers that an endpoint receives."""
    return tuple(_filtered(headers, OWN_REQUEST, kept="oriolelock-operation"))


def to_caller(headers: Headers) -> Headers:
    """Return the endpoint's headers that the caller receives."""
    return tuple(_filtered(headers, OWN_ANSWER))


def _digest(*parts: bytes) -> str:
    state = xxhash.xxh3_128()
    for part in parts:
        # The length keeps apart parts that only join to the same bytes.
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


def fingerprint(parsed: caller_request.Parsed, req: caller_request.CallerRequest) -> str:
    """Return what stays the same when a caller resends the request with another key."""
    path = req.target.partition("?")[0]
    return _digest(parsed.service.encode(), parsed.operation.encode(), path.encode(), req.body)


def body_digest(parsed: caller_request.Parsed, req: caller_request.CallerRequest) -> str:
    """Return the digest that one idempotency key stands for."""
    names = (parsed.service, parsed.operation, req.method, req.target)
    return _digest(*(name.encode() for name in names), req.body)
