"""
oriolelock.bench.http
~~~~~~~~~~~~~~~~~~~~~

    One HTTP request as a caller makes it, by pycurl; a connection is kept for each thread.
"""

import dataclasses
import io
import json
import threading

import pycurl

from oriolelock.bench import errors

__all__ = ["Reply", "get_json", "post_json", "request"]

CONNECT_TIMEOUT_S = 2.0

_own = threading.local()


@dataclasses.dataclass(frozen=True)
class Reply:
    """A complete answer; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> object:
        """Return the body as a JSON value."""
        return json.loads(self.body)


def request(
    method: str,
    address: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Reply:
    """Send a request to ``a.b.c.d:port``; raises CallFailed."""
    curl = getattr(_own, "curl", None)
    if curl is None:
        curl = _own.curl = pycurl.Curl()
    curl.reset()
    received, fields = io.BytesIO(), {}

    def take_header(line):
        name, colon, value = line.decode("latin-1").partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()

    curl.setopt(pycurl.URL, f"http://{address}{path}")
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.HTTPHEADER, ["Expect:", *(f"{k}: {v}" for k, v in (headers or {}).items())])
    if body:
        curl.setopt(pycurl.POSTFIELDS, body)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeout_s * 1000)))
    curl.setopt(pycurl.WRITEDATA, received)
    curl.setopt(pycurl.HEADERFUNCTION, take_header)
    try:
        curl.perform()
    except pycurl.error as exc:
        raise errors.CallFailed(f"{address}: {exc.args[-1]}") from exc
    return Reply(curl.getinfo(pycurl.RESPONSE_CODE), fields, received.getvalue())


def get_json(address: str, path: str, headers: dict[str, str] | None = None) -> object:
    """Return the JSON value at ``path``; raises CallFailed also for a status but 200."""
    reply = request("GET", address, path, headers=headers)
    if reply.status != 200:
        raise errors.CallFailed(f"{address}{path}: status {reply.status}")
    return reply.json()


def post_json(address: str, path: str, value: object) -> object:
    """Post ``value`` and return the JSON answer; raises CallFailed."""
    reply = request("POST", address, path, json.dumps(value).encode())
    if reply.status != 200:
        raise errors.CallFailed(f"{address}{path}: status {reply.status}: {reply.body[:200]!r}")
    return reply.json()
