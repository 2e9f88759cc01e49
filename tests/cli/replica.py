"""A scripted control replica that records what it was asked."""

import contextlib
import json

import werkzeug.wrappers

from oriolelock.standin import server

LOST = object()


class Replica:
    """Answers with ``replies`` in turn, the last one for ever; LOST closes the connection."""

    def __init__(self, *replies):
        self._replies = list(replies)
        self.asked = []

    def app(self, environ, start_response):
        req = werkzeug.wrappers.Request(environ)
        body = json.loads(req.get_data() or b"null")
        self.asked.append((req.path, req.headers.get("Authorization"), body))
        reply = self._replies.pop(0) if len(self._replies) > 1 else self._replies[0]
        if reply is LOST:
            raise ConnectionAbortedError("the answer is lost")
        status, data = reply
        return werkzeug.wrappers.Response(json.dumps(data), status)(environ, start_response)


@contextlib.contextmanager
def running(*replies):
    """Yield a replica and its address."""
    item = Replica(*replies)
    host = server.Server(("127.0.0.1", 0), item.app, 2, 10)
    address = host.start()
    try:
        yield item, f"{address[0]}:{address[1]}"
    finally:
        host.stop()
