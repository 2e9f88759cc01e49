"""
oriolelock.entry.http_server
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The HTTP server for callers, with a bounded thread pool, limits and graceful shutdown.
"""

import collections.abc
import json
import socket
import threading

import cheroot.server
import cheroot.wsgi

from oriolelock import clock, logs
from oriolelock.entry import http_socket, http_writer

__all__ = ["IS_GONE_KEY", "RECEIVED_KEY", "Server", "make"]

READ_LIMIT_S = 5.0
# Share of the threads that may wait for slow callers. Without this bound, 200 callers that sent
# half a request occupied all 64 threads for 15 s.
SLOW_READ_SHARE = 0.25
WRITE_LIMIT_S = 10.0
# Limit for sending a refusal and for the caller to close its side afterwards.
REFUSAL_LIMIT_S = 1.0
LINGER_BUFFER_BYTES = 64 * 1024
KEEP_ALIVE_S = 60.0
# This is also how long the accepting thread may take to notice a stop.
EXPIRATION_INTERVAL_S = 0.2
LISTEN_BACKLOG = 512
MAX_KEEP_ALIVE_CONNECTIONS = 4096
REASON_BY_STATUS = {"413": "body-too-large", "414": "headers-too-large"}
HEADER_LIMIT_TEXT = "headers"
RECEIVED_KEY = "oriolelock.received_s"
IS_GONE_KEY = "oriolelock.is_gone"

log = logs.get_logger("http")


class _Request(cheroot.server.HTTPRequest):
    """Sends the refusals of the server itself in the same form as those of the application."""

    def simple_response(self, status, msg=""):
        """Send a refusal with a short JSON body."""
        code, reason = str(status)[:3], REASON_BY_STATUS.get(str(status)[:3], "bad-request")
        if code in ("413", "414") and HEADER_LIMIT_TEXT in msg or code == "414":
            status, reason = "431 Request Header Fields Too Large", "headers-too-large"
        self.close_connection = True
        body = json.dumps({"outcome": "not-run", "reason": reason, "detail": str(msg)}).encode()
        lines = [
            f"{self.server.protocol} {status}",
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *(f"{name}: {value}" for name, value in self.server.refusal_headers(reason)),
        ]
        self.server.on_refusal(reason)
        self.conn.socket.set_limit(REFUSAL_LIMIT_S)
        self.conn.wfile.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        self.conn.linger_after_refusal()

    def send_headers(self):
        """Send status and headers; while the server is leaving, close the connection afterwards."""
        # The connection also ends after a chunked body, so that what follows it can't be taken for
        # a request.
        connection_values = [
            value.lower() for name, value in self.outheaders if name.lower() == b"connection"
        ]
        if self.server.is_leaving or self.chunked_read or b"close" in connection_values:
            self.close_connection = True
        # Reads the rest of the request body, still within the read limit.
        if not self.close_connection and not self.chunked_read:
            remaining = getattr(self.rfile, "remaining", 0)
            if remaining > 0:
                self.rfile.read(remaining)
        self.conn.socket.set_limit(WRITE_LIMIT_S)
        self.conn.wfile.cork()
        super().send_headers()
        if self.chunked_write:
            self.conn.wfile.uncork()

    def respond(self):
        """Answer the request; this sends the headers of a response without a body."""
        super().respond()
        self.conn.wfile.uncork()


class _Gateway(cheroot.wsgi.Gateway_10):
    def get_environ(self):
        """Add the arrival time, which precedes the wait for a free thread, and ``is_gone``."""
        conn = self.req.conn
        return {
            **super().get_environ(),
            RECEIVED_KEY: conn.received_s,
            IS_GONE_KEY: conn.socket.is_gone,
        }


class _Connection(cheroot.server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(self, server, sock, makefile=cheroot.server.MakeFile):
        limited_socket = http_socket.DeadlineSocket(sock, server.slow_reads)
        # The default makefile of cheroot sends headers and body separately.
        super().__init__(server, limited_socket, http_writer.make_file)
        self.received_s: float | None = None

    def linger_after_refusal(self):
        """Close the sending side and discard what still arrives.

        Closing with unread bytes would reset the connection, and a caller that is still sending
        would lose the refusal.
        """
        self.wfile.flush()
        try:
            self.socket.shutdown(socket.SHUT_WR)
            buffer = bytearray(LINGER_BUFFER_BYTES)
            while self.socket.recv_into(buffer):
                pass
        except OSError as exc:
            log.debug("caller did not close the connection after a refusal: {}", exc)

    def communicate(self):
        """Read and answer one request."""
        self.socket.set_limit(READ_LIMIT_S)
        return super().communicate()


class Server(cheroot.wsgi.Server):
    """Calls ``on_refusal(reason)`` for each request that does not reach the application."""

    ConnectionClass = _Connection
    keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS
    expiration_interval = EXPIRATION_INTERVAL_S
    is_leaving = False

    def __init__(self, *args, threads, refusal_headers, on_refusal, **kwargs):
        super().__init__(*args, **kwargs)
        self.slow_reads = threading.BoundedSemaphore(max(1, int(threads * SLOW_READ_SHARE)))
        self.refusal_headers = refusal_headers
        self.on_refusal = on_refusal

    def process_conn(self, conn):
        """Pass a connection to a thread once it has sent data."""
        now = clock.monotonic_s()
        if conn.received_s is None:
            conn.received_s = now
            self.put_conn(conn)
            return
        conn.received_s = now
        super().process_conn(conn)

    def error_log(self, msg="", level=20, traceback=False):
        """Write cheroot's messages to the log of the process."""
        if level >= 40:
            log.error("{}", msg, exc_info=traceback)
        else:
            log.debug("{}", msg)


def make(
    address: tuple[str, int],
    app: collections.abc.Callable,
    threads: int,
    max_headers: int,
    max_body: int,
    drain_timeout_s: float,
    refusal_headers: collections.abc.Callable[[str], list[tuple[str, str]]],
    on_refusal: collections.abc.Callable[[str], None],
) -> Server:
    """Return a server that is bound to ``address`` but does not serve yet.

    Raises OSError when the port is taken.
    """
    server = Server(
        address,
        app,
        threads=threads,
        numthreads=threads,
        max=threads,
        request_queue_size=LISTEN_BACKLOG,
        timeout=KEEP_ALIVE_S,
        shutdown_timeout=drain_timeout_s,
        refusal_headers=refusal_headers,
        on_refusal=on_refusal,
    )
    server.gateway = _Gateway
    server.max_request_header_size = max_headers
    server.max_request_body_size = max_body
    server.prepare()
    return server
