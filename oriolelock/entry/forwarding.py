"""
oriolelock.entry.forwarding
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Filters the headers between caller and endpoint, and computes the digests of a request.
"""

import collections.abc

import xxhash

from oriolelock.admission import fingerprint as fingerprints
from oriolelock.entry import caller_request

__all__ = ["body_digest", "caller_headers", "endpoint_headers", "fingerprint"]

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
REPLACED_REQUEST_HEADERS = frozenset(
    ["host", "content-length", "expect", "x-request-id", "x-deadline-ms", "x-attempt"]
)
# Those that callers commonly change when they send a request again.
CHANGED_BY_REPEAT = REPLACED_REQUEST_HEADERS | frozenset(
    ["idempotency-key", "date", "traceparent", "tracestate", "baggage", "b3"]
)
REMOVED_RESPONSE_HEADERS = frozenset(
    ["content-length", "x-request-id", "x-load", "x-state", "x-not-run"]
)
INTERNAL_PREFIX = "oriolelock-"

Headers = tuple[tuple[str, str], ...]


def _listed_in_connection(headers):
    values = (value for name, value in headers if name.lower() == "connection")
    return {part.strip().lower() for value in values for part in value.split(",")}


def _filter(
    headers: Headers, excluded: collections.abc.Set[str], exception: str = ""
) -> collections.abc.Iterator[tuple[str, str]]:
    removed = HOP_BY_HOP | excluded | _listed_in_connection(headers)
    for name, value in headers:
        lowered = name.lower()
        if lowered == exception or not (lowered in removed or lowered.startswith(INTERNAL_PREFIX)):
            yield name, value


def endpoint_headers(headers: Headers) -> Headers:
    """Return the caller's headers that are forwarded to the endpoint."""
    return tuple(_filter(headers, REPLACED_REQUEST_HEADERS, exception="oriolelock-operation"))


def caller_headers(headers: Headers) -> Headers:
    """Return the endpoint's headers that are forwarded to the caller."""
    return tuple(_filter(headers, REMOVED_RESPONSE_HEADERS))


def _digest(*parts: bytes) -> str:
    state = xxhash.xxh3_128()
    for part in parts:
        # Without the lengths, different parts could concatenate to the same bytes.
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


def fingerprint(parsed: caller_request.ParsedHeaders, req: caller_request.CallerRequest) -> str:
    """Return the fingerprint, which stays the same when the request is resent with another key."""
    path, _, query = req.target.partition("?")
    headers = [
        (name.lower().encode(), value.encode())
        for name, value in _filter(req.headers, CHANGED_BY_REPEAT)
    ]
    names = (parsed.service, parsed.operation, req.method, path)
    return fingerprints.make(names, req.body, query.encode(), headers)


def body_digest(parsed: caller_request.ParsedHeaders, req: caller_request.CallerRequest) -> str:
    """Return the digest of the request that an idempotency key identifies."""
    names = (parsed.service, parsed.operation, req.method, req.target)
    return _digest(*(name.encode() for name in names), req.body)
