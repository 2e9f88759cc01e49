"""
oriolelock.gateway.pool
~~~~~~~~~~~~~~~~~~~~~~~

    Kept connections to endpoints.
"""

from oriolelock.http1 import loop as loops
from oriolelock.http1 import outbound

__all__ = ["Pool"]

# A request that must not run twice goes over a connection only if that was in use this lately:
# one that ended unnoticed would leave open whether it ran.
FRESH_S = 2.0


class Pool:
    """Idle connections by endpoint name; the one used last is used first."""

    def __init__(self, loop: loops.Loop, id_header: bytes):
        self._loop = loop
        self._id_header = id_header
        self._idle: dict[str, list[outbound.Outbound]] = {}
        self.opened = 0

    def take(
        self, name: str, address: tuple[str, int], is_idempotent: bool, now: float
    ) -> outbound.Outbound:
        """Return an idle connection to an endpoint, or a new one that is not open yet."""
        idle = self._idle.get(name, [])
        while idle:
            conn = idle.pop()
            fresh = is_idempotent or now - conn.idle_since_s <= FRESH_S
            if conn.is_open and conn.address == address and now < conn.usable_until_s and fresh:
                return conn
            conn.close()
        self.opened += 1
        return outbound.Outbound(
            self._loop, address, self._id_header, lambda conn: self._ended(name, conn)
        )

    def give_back(self, name: str, conn: outbound.Outbound) -> None:
        """Keep a connection whose request is done, if it is still open."""
        if conn.is_open:
            self._idle.setdefault(name, []).append(conn)

    def _ended(self, name, conn):
        idle = self._idle.get(name, [])
        if conn in idle:
            idle.remove(conn)

    def drop(self, name: str) -> None:
        """Close the idle connections to an endpoint."""
        for conn in self._idle.pop(name, []):
            conn.close()

    def sweep(self, names, now: float) -> None:
        """Close connections that are too old or whose endpoint is not among ``names``."""
        for name in list(self._idle):
            if name not in names:
                self.drop(name)
                continue
            kept = []
            for conn in self._idle[name]:
                if conn.is_open and now < conn.usable_until_s:
                    kept.append(conn)
                else:
                    conn.close()
            self._idle[name] = kept
