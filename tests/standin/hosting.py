"""Hosts stand-ins inside the test process, on ports that the kernel chooses."""

import concurrent.futures
import contextlib
import http.client
import json

from oriolelock.settings import node as nodes
from oriolelock.settings import standin

POOL = concurrent.futures.ThreadPoolExecutor(8)


@contextlib.contextmanager
def hosted(make_host, **data):
    """Yield the bound addresses of a stand-in with these settings."""
    top = nodes.Node("test", "", data)
    cfg = standin.parse(top)
    top.finish()
    host = make_host(cfg)
    try:
        yield host.start()
    finally:
        host.stop()


def call(address, method, path, body=b"", timeout_s=10, **headers):
    """Return (status, headers, body) of one request on a new connection."""
    conn = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        names = {key.replace("_", "-"): value for key, value in headers.items()}
        conn.request(method, path, body, names)
        resp = conn.getresponse()
        return resp.status, resp.headers, resp.read()
    finally:
        conn.close()


def get_json(address, path):
    """Return the JSON object at ``path``."""
    return json.loads(call(address, "GET", path)[2])


def call_later(*args, **kwargs):
    """Start ``call`` in a thread; returns its future."""
    return POOL.submit(call, *args, **kwargs)
