"""
oriolelock.standin.answers
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The answers of an endpoint to requests, whole and damaged.
"""

import json
import socket

import werkzeug.wrappers
import xxhash

__all__ = ["completed", "digest_of", "refused", "truncate"]


def digest_of(body: bytes) -> str:
    """Return the digest of a request's body that its answer echoes."""
    return xxhash.xxh3_64_hexdigest(body)


def completed(
    endpoint: str, request_id: str, digest: str, operation: str, size: int
) -> werkzeug.wrappers.Response:
    """Return the answer to a run, padded to ``size`` bytes."""
    fields = {
        "endpoint": endpoint,
        "request_id": request_id,
        "digest": digest,
        "operation": operation,
    }
    text = json.dumps(fields)
    if len(text) < size:
        text = json.dumps({**fields, "padding": ""})
        text = text[:-2] + "x" * max(0, size - len(text)) + text[-2:]
    resp = werkzeug.wrappers.Response(text, 200, mimetype="application/json")
    resp.headers["X-Request-Id"] = request_id
    resp.headers["X-Body-Digest"] = digest
    return resp


def refused(request_id: str, reason: str) -> werkzeug.wrappers.Response:
    """Return the answer to a request that did not run."""
    resp = werkzeug.wrappers.Response(f"not run: {reason}\n", 503)
    resp.headers["X-Not-Run"] = reason
    resp.headers["X-Request-Id"] = request_id
    return resp


def truncate(resp: werkzeug.wrappers.Response, sock: socket.socket) -> werkzeug.wrappers.Response:
    """Return the answer with its announced length, closed after half of its body."""
    body = resp.get_data()
    resp.headers["Content-Length"] = str(len(body))
    resp.automatically_set_content_length = False
    resp.response = [body[: len(body) // 2]]
    resp.call_on_close(lambda: sock.shutdown(socket.SHUT_RDWR))
    return resp
