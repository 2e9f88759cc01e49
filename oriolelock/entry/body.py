"""
oriolelock.entry.body
~~~~~~~~~~~~~~~~~~~~~

    Reads and validates the body of a caller's request.
"""

import collections.abc

import cheroot.errors

from oriolelock import outcomes

__all__ = ["read"]


def read(environ: collections.abc.Mapping, max_body: int) -> bytes | outcomes.NotRun:
    """Return the body, or NotRun if it is malformed, truncated or over ``max_body`` bytes."""
    length = environ.get("CONTENT_LENGTH", "")
    chunked = environ.get("wsgi.input_terminated")
    if environ.get("HTTP_TRANSFER_ENCODING") and not chunked:
        return outcomes.NotRun("bad-request")
    if length and (chunked or not (length.isascii() and length.isdigit())):
        # With two lengths, or an invalid one, the end of the request is ambiguous.
        return outcomes.NotRun("bad-request")
    if not chunked and not length:
        return b""
    try:
        body = environ["wsgi.input"].read() if chunked else environ["wsgi.input"].read(int(length))
    except cheroot.errors.MaxSizeExceeded:
        return outcomes.NotRun("body-too-large")
    except (ValueError, OSError) as exc:
        large = "Too Large" in str(exc)
        return outcomes.NotRun("body-too-large" if large else "bad-request")
    if len(body) > max_body:
        return outcomes.NotRun("body-too-large")
    if not chunked and len(body) != int(length):
        return outcomes.NotRun("bad-request")
    return body
