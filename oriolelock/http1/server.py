"""
oriolelock.http1.server
~~~~~~~~~~~~~~~~~~~~~~~

    An HTTP server: a listening socket and its connections.
"""

import selectors

from oriolelock.http1 import inbound, server_rules, sockets
from oriolelock.http1 import loop as loops

__all__ = ["Server"]

MAX_ACCEPTS_PER_EVENT = 64


class Server:
    """Not thread-safe. ``max_connections``: further connections are closed immediately."""

    def __init__(
        self,
        loop: loops.Loop,
        address: tuple[str, int],
        rules: server_rules.ServerRules,
        max_connections: int = 3000,
    ):
        self._loop = loop
        self._max_connections = max_connections
        self._rules = rules
        rules.closed = self._closed
        self._connections: set[inbound.Inbound] = set()
        self._sock = sockets.listen(address)
        self.is_listening = True
        loop.watch(self._sock, selectors.EVENT_READ, self._on_connection)

    def _on_connection(self, events):
        self._accept_pending(MAX_ACCEPTS_PER_EVENT)

    def _accept_pending(self, max_count):
        for _ in range(max_count):
            try:
                sock, _ = self._sock.accept()
            except OSError:
                # No connection is pending, or it ended before it was accepted.
                return
            if len(self._connections) >= self._max_connections:
                sock.close()
                continue
            self._connections.add(inbound.Inbound(self._loop, sock, self._rules))

    def _closed(self, conn):
        self._connections.discard(conn)

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def busy(self) -> int:
        """Number of connections that read or answer a request."""
        return sum(conn.is_busy for conn in self._connections)

    def stop_listening(self) -> None:
        """Stop accepting connections, except those that callers have already established."""
        if self.is_listening:
            self.is_listening = False
            # Closing the socket resets the connections in its backlog.
            self._accept_pending(sockets.BACKLOG)
            self._loop.watch(self._sock, 0, self._on_connection)
            self._sock.close()

    def close_idle(self) -> None:
        """Close the connections without a request in progress.

        New connections stay open for a moment, as their first request may be on its way.
        """
        for conn in list(self._connections):
            conn.close_if_idle()
