"""
oriolelock.gateway.forwarded
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Headers of forwarded requests and responses.
"""

import collections.abc

import xxhash

from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import messages

__all__ = ["object_key", "repeated_headers", "to_caller", "to_endpoint", "with_headers"]

# Tables of objects are bounded by number, so their keys must be short.
MAX_KEY_BYTES = 64

# Hop-by-hop headers (RFC 9110, section 7.6.1) and framing headers, which are regenerated.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

# End-to-end headers that callers commonly change when they send a request again; the host counts
# as part of the target.
CHANGED_BY_REPEAT = frozenset((b"host", b"date", b"traceparent", b"tracestate", b"baggage", b"b3"))


def object_key(route_prefix: str, value: bytes | None) -> str:
    """Return the key of the object that a request concerns, empty if it names none.

    Objects of different routes have different keys. Long names are replaced by a digest.
    """
    if not value:
        return ""
    key = f"{route_prefix}{value.decode('latin-1')}"
    if len(key) <= MAX_KEY_BYTES:
        return key
    return xxhash.xxh3_128_hexdigest(key.encode())


def _end_to_end(headers, dropped):
    connection_header = messages.find(headers, b"connection") or b""
    connection_specific = {option.strip().lower() for option in connection_header.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in connection_specific and name not in dropped
    ]


def repeated_headers(req: messages.Request, dialect: dialects.Dialect) -> list[tuple[bytes, bytes]]:
    """Return the headers that stay the same when a caller sends a request again."""
    changed = {dialect.request_id, dialect.deadline_ms, dialect.expected_endpoint}
    return _end_to_end(req.headers, CHANGED_BY_REPEAT | changed)


def to_endpoint(
    req: messages.Request, dialect: dialects.Dialect, endpoint: str, left_s: float
) -> messages.Request:
    """Return the request to forward; ``left_s``: seconds until the response is useless."""
    replaced = (dialect.deadline_ms, dialect.expected_endpoint)
    added = (
        (dialect.deadline_ms, str(max(1, int(left_s * 1000))).encode()),
        (dialect.expected_endpoint, endpoint.encode()),
    )
    return with_headers(req, replaced, added)


def with_headers(
    req: messages.Request, dropped: collections.abc.Container[bytes], added: messages.Headers
) -> messages.Request:
    """Return the request with its end-to-end headers, without ``dropped`` and with ``added``."""
    headers = [*_end_to_end(req.headers, dropped), *added]
    had_body = req.header(b"content-length") or req.header(b"transfer-encoding")
    if req.body or had_body:
        headers.append((b"content-length", str(len(req.body)).encode()))
    return messages.Request(req.method, req.target, tuple(headers), req.body, req.received_s)


def to_caller(response: messages.Response) -> messages.Response:
    """Return the response to send to the caller, with unchanged status and body."""
    kept_names = (b"content-length",) if not response.body else ()
    headers = _end_to_end(response.headers, ())
    for name in kept_names:
        value = response.header(name)
        if value is not None:
            headers.append((name, value))
    return messages.Response(response.status, tuple(headers), response.body)
