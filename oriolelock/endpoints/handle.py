"""
oriolelock.endpoints.handle
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Configures a libcurl handle for one attempt of a request.
"""

import pycurl

from oriolelock.endpoints import errors, request

__all__ = ["make"]

BODY_METHODS = ("POST", "PUT", "PATCH")


def _header_line(name: str, value: str) -> bytes:
    # libcurl removes a header given as "Name:"; "Name;" sends it with an empty value.
    text = f"{name}: {value}" if value else f"{name};"
    if "\r" in text or "\n" in text or "\0" in text:
        raise errors.UnsendableRequest(f"control character in header {name!r}")
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as exc:
        raise errors.UnsendableRequest(f"header {name!r}: {exc.reason}") from exc


def make(
    address: str, req: request.Request, deadline_ms: int, connect_timeout_s: float
) -> pycurl.Curl:
    """Return a handle that sends ``req`` to ``address`` (``a.b.c.d:port``).

    ``deadline_ms`` is sent to the endpoint; ``connect_timeout_s`` bounds the connection attempt.
    Raises UnsendableRequest if the request cannot be serialized as HTTP.
    """
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, f"http://{address}/")
    handle.setopt(pycurl.REQUEST_TARGET, req.target)
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.NOPROXY, "*")
    handle.setopt(pycurl.FOLLOWLOCATION, 0)
    handle.setopt(pycurl.TCP_NODELAY, 1)
    handle.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(connect_timeout_s * 1000)))
    _set_method(handle, req)
    entry_headers = [
        ("X-Request-Id", req.request_id),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("X-Attempt", str(req.attempt)),
    ]
    lines = [_header_line(name, value) for name, value in [*req.headers, *entry_headers]]
    # Suppress headers that libcurl adds by default.
    lines += [b"Expect:"]
    request_header_names = {name.lower() for name, _ in req.headers}
    lines += [
        f"{n}:".encode()
        for n in ("Content-Type", "Accept")
        if n.lower() not in request_header_names
    ]
    handle.setopt(pycurl.HTTPHEADER, lines)
    if not req.idempotent:
        # libcurl resends a request if a reused connection fails before the first byte of the
        # response; it never does so on a new connection.
        handle.setopt(pycurl.FRESH_CONNECT, 1)
    return handle


def _set_method(handle, req):
    if req.method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
        return
    if req.body or req.method in BODY_METHODS:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDSIZE_LARGE, len(req.body))
        handle.setopt(pycurl.POSTFIELDS, req.body)
    handle.setopt(pycurl.CUSTOMREQUEST, req.method)
