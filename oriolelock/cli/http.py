"""
oriolelock.cli.http
~~~~~~~~~~~~~~~~~~~

    One HTTP exchange with JSON bodies, by pycurl.
"""

import dataclasses
import io
import json

import pycurl

__all__ = ["ExchangeFailed", "Reply", "exchange"]

CONNECT_TIMEOUT_S = 2.0


class ExchangeFailed(Exception):
    """No complete answer: the request may or may not have been carried out."""


@dataclasses.dataclass(frozen=True)
class Reply:
    """The status and the JSON object of an answer."""

    status: int
    data: dict


def exchange(method: str, url: str, body: dict | None, token: str, timeout_s: float) -> Reply:
    """Send one request; raises ExchangeFailed."""
    received = io.BytesIO()
    curl = pycurl.Curl()
    headers = ["Content-Type: application/json", "Expect:"]
    if token:
        headers.append(f"Authorization: Bearer {token}")
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.CUSTOMREQUEST, method)
    curl.setopt(pycurl.HTTPHEADER, headers)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(min(CONNECT_TIMEOUT_S, timeout_s) * 1000) or 1)
    curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000) or 1)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.WRITEDATA, received)
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, json.dumps(body))
    try:
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as exc:
        raise ExchangeFailed(str(exc.args[-1])) from exc
    finally:
        curl.close()
    try:
        data = json.loads(received.getvalue())
    except ValueError as exc:
        raise ExchangeFailed(f"status {status} without JSON") from exc
    if not isinstance(data, dict):
        raise ExchangeFailed("the answer is not a JSON object")
    return Reply(status, data)
