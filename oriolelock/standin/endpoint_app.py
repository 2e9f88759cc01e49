"""
oriolelock.standin.endpoint_app
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The HTTP interface of an emulated endpoint.

    ``GET /load``, ``POST /cancel/<request id>``, ``GET /runs``, ``POST /faults`` and
    ``GET /faults``; every other request is work.
"""

import collections.abc

import werkzeug.wrappers

from oriolelock.standin import endpoint as endpoints
from oriolelock.standin import json_reply

__all__ = ["make_app"]

CANCEL_PREFIX = "/cancel/"


def make_app(endpoint: endpoints.Endpoint) -> collections.abc.Callable:
    """Return the WSGI application of ``endpoint``."""

    @werkzeug.wrappers.Request.application
    def app(req: werkzeug.wrappers.Request) -> werkzeug.wrappers.Response:
        if req.method == "POST" and req.path == "/faults":
            return json_reply.carry_out(endpoint.command, req)
        if req.method == "POST" and req.path.startswith(CANCEL_PREFIX):
            is_found = endpoint.cancel(req.path[len(CANCEL_PREFIX) :])
            return json_reply.make({"cancelled": is_found}, 200 if is_found else 404)
        if req.method == "GET" and req.path in views:
            return json_reply.make(views[req.path]())
        return endpoint.serve(req)

    views = {
        "/load": endpoint.load,
        "/runs": lambda: endpoint.runs.list_runs(endpoint.cfg.name),
        "/faults": endpoint.board.list_faults,
    }
    return app
