"""
oriolelock.standin.links_host
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The process that hosts emulated links, with commands over HTTP.

    ``GET /links`` and ``POST /links/<name>`` (``{"delay": "20 ms", "cut": true, ...}``).
"""

import dataclasses

import werkzeug.exceptions
import werkzeug.wrappers

from oriolelock.settings import node as nodes
from oriolelock.settings import standin_link
from oriolelock.standin import json_reply, link, server

__all__ = ["LinksHost"]

THREADS = 4
CONNECTIONS = 50
LINK_PREFIX = "/links/"


class LinksHost:
    """Starts and stops the links and their command server."""

    def __init__(self, cfg: standin_link.LinksSettings):
        self._links = {item.name: link.Link(item) for item in cfg.links}
        self._server = server.Server(cfg.listen, self._make_app(), THREADS, CONNECTIONS)

    def start(self) -> dict[str, tuple[str, int]]:
        """Start and return the bound addresses by name. Raises OSError."""
        bound = {name: item.start() for name, item in self._links.items()}
        return {**bound, "commands": self._server.start()}

    def stop(self) -> None:
        """Close everything."""
        self._server.stop()
        for item in self._links.values():
            item.stop()

    def _command(self, name: str, data: object) -> None:
        item = self._links[name]
        node = nodes.Node("POST /links", name, data)
        state = standin_link.parse_state(node, item.state)
        node.finish()
        item.set_state(state)

    def _make_app(self):
        @werkzeug.wrappers.Request.application
        def app(req: werkzeug.wrappers.Request) -> werkzeug.wrappers.Response:
            name = req.path[len(LINK_PREFIX) :]
            if req.method == "GET" and req.path == "/links":
                states = {key: dataclasses.asdict(v.state) for key, v in self._links.items()}
                return json_reply.make(states)
            if req.method == "POST" and name in self._links:
                return json_reply.carry_out(lambda data: self._command(name, data), req)
            return werkzeug.exceptions.NotFound().get_response(req.environ)

        return app
