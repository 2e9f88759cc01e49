"""A scripted endpoint: each request is answered by a function that a test gives."""

import socket
import socketserver
import threading

from oriolelock.model import endpoint

LOAD = "X-Load: in_flight=1;slots=4;queued=0\r\nX-State: serving\r\n"
# Polls of the load are answered apart, so that they don't count as requests.
LOAD_TARGET = "/load"
LOAD_BODY = b'{"in_flight":1,"slots":4,"queued":0,"state":"serving","age_ms":0}'
LOAD_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(LOAD_BODY), LOAD_BODY)


class Seen:
    """One request as it arrived."""

    def __init__(self, method, target, headers, body, number):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.number = number
        self.request_id = headers.get("x-request-id", "")


def answer(seen, status="200 OK", body=b"ok", request_id=None, extra="", length=None):
    head = f"HTTP/1.1 {status}\r\nX-Request-Id: {request_id or seen.request_id}\r\n{LOAD}{extra}"
    head += f"Content-Length: {len(body) if length is None else length}\r\n\r\n"
    return head.encode() + body


class FakeEndpoint:
    """``behave(seen, conn)`` returns the bytes to send, or None to close the connection.

    ``conn`` counts requests and connections, so that a test can act on the second of them.
    """

    def __init__(self, behave=lambda seen, conn: answer(seen)):
        self.behave = behave
        self.requests = []
        self.connections = 0
        self.open_sockets = set()
        self.changed = threading.Condition()
        outer = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                outer.handle(self)

        socketserver.ThreadingTCPServer.allow_reuse_address = True
        self.server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.server.block_on_close = False
        self.thread = threading.Thread(
            target=self.server.serve_forever, kwargs={"poll_interval": 0.01}, daemon=True
        )
        self.thread.start()

    @property
    def address(self):
        return f"127.0.0.1:{self.server.server_address[1]}"

    def model(self, name="e1", service="proofs", region="perth", connections=8, **kwargs):
        return endpoint.Endpoint(
            name, service, self.address, region, "perth-a", 4, connections, **kwargs
        )

    def handle(self, handler):
        with self.changed:
            self.connections += 1
            handler.number = self.connections
            self.open_sockets.add(handler.request)
        handler.served = 0
        try:
            while seen := self.read(handler):
                handler.served += 1
                data = self.behave(seen, handler)
                if data is None:
                    return
                handler.wfile.write(data)
        except OSError:
            return
        finally:
            with self.changed:
                self.open_sockets.discard(handler.request)

    def end_connections(self, count=None):
        """End connections, all by default, as a crash would; go on listening."""
        with self.changed:
            for sock in list(self.open_sockets)[:count]:
                sock.shutdown(socket.SHUT_RDWR)

    def read(self, handler):
        line = handler.rfile.readline().decode()
        if not line.strip():
            return None
        method, target, _ = line.split(" ", 2)
        headers = {}
        while (text := handler.rfile.readline().decode().strip()) != "":
            name, _, value = text.partition(":")
            headers[name.lower()] = value.strip()
        body = handler.rfile.read(int(headers.get("content-length", 0)))
        if target == LOAD_TARGET:
            handler.wfile.write(LOAD_REPLY)
            return self.read(handler)
        with self.changed:
            seen = Seen(method, target, headers, body, len(self.requests) + 1)
            self.requests.append(seen)
            self.changed.notify_all()
        return seen

    def wait_for(self, condition, timeout_s=10):
        with self.changed:
            assert self.changed.wait_for(lambda: condition(self.requests), timeout_s)

    def close(self):
        self.server.shutdown()
        self.server.server_close()
