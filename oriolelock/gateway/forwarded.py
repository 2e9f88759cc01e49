"""
oriolelock.gateway.forwarded
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The headers that pass between callers and endpoints, and those that do not.
"""

from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import messages

__all__ = ["to_caller", "to_endpoint"]

# Headers of one connection (RFC 9110, section 7.6.1) and of the framing, which is made anew.
CONNECTION_ONLY = frozenset(
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


def _passing(headers, dropped):
    named = messages.find(headers, b"connection") or b""
    listed = {part.strip().lower() for part in named.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_ONLY and name not in listed and name not in dropped
    ]


def to_endpoint(
    req: messages.Request, words: dialects.Dialect, endpoint: str, left_s: float
) -> messages.Request:
    """Return the request as an endpoint gets it; ``left_s``: how long its answer is of use."""
    own = (words.deadline_ms, words.expected_endpoint)
    headers = _passing(req.headers, own)
    headers.append((words.deadline_ms, str(max(1, int(left_s * 1000))).encode()))
    headers.append((words.expected_endpoint, endpoint.encode()))
    had_body = req.header(b"content-length") or req.header(b"transfer-encoding")
    if req.body or had_body:
        headers.append((b"content-length", str(len(req.body)).encode()))
    return messages.Request(req.method, req.target, tuple(headers), req.body, req.received_s)


def to_caller(response: messages.Response) -> messages.Response:
    """Return an endpoint's answer as the caller gets it: status and body unchanged."""
    kept = (b"content-length",) if not response.body else ()
    headers = _passing(response.headers, ())
    for name in kept:
        value = response.header(name)
        if value is not None:
            headers.append((name, value))
    return messages.Response(response.status, tuple(headers), response.body)
