"""
oriolelock.standin.instances_app
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The HTTP interface of the emulated instance list.

    ``GET /instances``, ``POST /instances/<id>``, ``POST /lag`` (``{"lag": "2 s"}``) and
    ``POST /faults`` (``stopped``, ``late``).
"""

import collections.abc
import threading

import werkzeug.exceptions
import werkzeug.wrappers

from oriolelock.settings import getters
from oriolelock.settings import node as nodes
from oriolelock.standin import fault_board, instance_list, json_reply

__all__ = ["make_app"]

INSTANCE_PREFIX = "/instances/"


def make_app(
    instances: instance_list.InstanceList, board: fault_board.FaultBoard
) -> collections.abc.Callable:
    """Return the WSGI application of the instance list."""

    def set_lag(data):
        node = nodes.Node("POST /lag", "", data)
        instances.lag_ms = getters.get_ms(node, "lag")
        node.finish()

    def show():
        late = board.take("late")
        if late:
            threading.Event().wait(late.delay_ms / 1000)
        if board.take("stopped"):
            return json_reply.make({"error": "stopped"}, 503)
        return json_reply.make(instances.shown())

    @werkzeug.wrappers.Request.application
    def app(req: werkzeug.wrappers.Request) -> werkzeug.wrappers.Response:
        if req.method == "GET" and req.path == "/instances":
            return show()
        if req.method == "POST" and req.path.startswith(INSTANCE_PREFIX):
            name = req.path[len(INSTANCE_PREFIX) :]
            return json_reply.carry_out(lambda data: instances.change(name, data), req)
        if req.method == "POST" and req.path == "/lag":
            return json_reply.carry_out(set_lag, req)
        if req.method == "POST" and req.path == "/faults":
            return json_reply.carry_out(board.command, req)
        return werkzeug.exceptions.NotFound().get_response(req.environ)

    return app
