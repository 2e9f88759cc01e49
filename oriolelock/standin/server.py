"""
oriolelock.standin.server
~~~~~~~~~~~~~~~~~~~~~~~~~

    An HTTP server on cheroot that can also die without ceremony.
"""

import collections.abc
import socket
import threading
import weakref

import cheroot.server
import cheroot.wsgi

from oriolelock import logs

__all__ = ["Server", "current_socket"]

IDLE_TIMEOUT_S = 60
GRACEFUL_STOP_S = 5
LISTEN_BACKLOG = 512

log = logs.get_logger("stand-in")
_current = threading.local()


def current_socket() -> socket.socket:
    """Return the socket of the connection that the calling worker thread serves."""
    return _current.socket


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    # Connections that a fault aborts are expected here.
    log.debug(f"server: {msg}", exc_info=traceback)


class _Connection(cheroot.server.HTTPConnection):
    """Keeps the server's list of open connections and the thread's current one."""

    def __init__(self, server, sock, *args, **kwargs):
        super().__init__(server, sock, *args, **kwargs)
        self.raw_socket = sock
        server.open_connections.add(self)

    def communicate(self):
        _current.socket = self.raw_socket
        return super().communicate()

    def close(self):
        self.server.open_connections.discard(self)
        super().close()


class Server:
    """Serves a WSGI application at ``address`` from a thread of its own."""

    def __init__(
        self, address: tuple[str, int], app: collections.abc.Callable, threads: int, limit: int
    ):
        self._server = cheroot.wsgi.Server(
            address,
            app,
            numthreads=threads,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=GRACEFUL_STOP_S,
            request_queue_size=LISTEN_BACKLOG,
        )
        self._server.ConnectionClass = _Connection
        self._server.open_connections = weakref.WeakSet()
        self._server.keep_alive_conn_limit = limit
        self._server.error_log = _log_error
        self._thread = threading.Thread(target=self._server.serve, daemon=True)

    def start(self) -> tuple[str, int]:
        """Listen and return the bound address; raises OSError."""
        self._server.prepare()
        self._thread.start()
        return self._server.bind_addr[:2]

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._server.open_connections)

    def stop(self) -> None:
        """Stop accepting, let running requests finish, close."""
        self._server.stop()
        self._thread.join(GRACEFUL_STOP_S)

    def crash(self) -> None:
        """Close the listener and reset every connection, as a killed process would."""
        self._server.shutdown_timeout = 0.01
        listener = self._server.socket
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
        for conn in list(self._server.open_connections):
            try:
                conn.raw_socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._server.stop()
