"""
oriolelock.gateway.pool
~~~~~~~~~~~~~~~~~~~~~~~

    Connection pool: idle connections to endpoints or to other entries.
"""

from oriolelock.http1 import buffer_budget, outbound
from oriolelock.http1 import loop as loops

__all__ = ["Pool"]

# Non-idempotent requests only use connections that were in use this recently. If a connection had
# ended unnoticed, it would be unknown whether the request ran.
MAX_NON_IDEMPOTENT_IDLE_S = 2.0


class Pool:
    """Idle connections by name of the endpoint or entry, most recently used first.

    ``budget``: of the bytes of all responses that are being received.
    """

    def __init__(self, loop: loops.Loop, id_header: bytes, budget: buffer_budget.BufferBudget):
        self._loop = loop
        self._id_header = id_header
        self._idle: dict[str, list[outbound.Outbound]] = {}
        self.budget = budget
        self.opened = 0

    def acquire(
        self,
        name: str,
        address: tuple[str, int],
        is_idempotent: bool,
        request_id: bytes,
        now: float,
    ) -> outbound.Outbound:
        """Return an idle connection to an endpoint, or a new one that is not connected yet."""
        idle = self._idle.get(name, [])
        carried = []
        found = None
        while idle and found is None:
            conn = idle.pop()
            if not _is_usable(conn, address, is_idempotent, now):
                conn.close()
            elif conn.has_carried(request_id):
                carried.append(conn)
            else:
                found = conn
        idle.extend(reversed(carried))
        if found is not None:
            return found
        self.opened += 1
        return outbound.Outbound(
            self._loop,
            address,
            self._id_header,
            lambda conn: self._on_idle_end(name, conn),
            self.budget,
        )

    def has_usable(
        self,
        name: str,
        address: tuple[str, int],
        is_idempotent: bool,
        request_id: bytes,
        now: float,
    ) -> bool:
        """Return whether ``acquire`` would return an idle connection."""
        return any(
            _is_usable(conn, address, is_idempotent, now) and not conn.has_carried(request_id)
            for conn in self._idle.get(name, ())
        )

    def release(self, name: str, conn: outbound.Outbound) -> None:
        """Return a connection to the pool after its request, if it is still open."""
        if conn.is_open:
            self._idle.setdefault(name, []).append(conn)

    def _on_idle_end(self, name, conn):
        idle = self._idle.get(name, [])
        if conn in idle:
            idle.remove(conn)

    def close_idle(self, name: str) -> None:
        """Close the idle connections to an endpoint."""
        for conn in self._idle.pop(name, []):
            conn.close()

    def close_expired(self, names, now: float) -> None:
        """Close expired connections and those to endpoints that are not in ``names``."""
        for name in list(self._idle):
            if name not in names:
                self.close_idle(name)
                continue
            kept = []
            for conn in self._idle[name]:
                if conn.is_open and now < conn.usable_until_s:
                    kept.append(conn)
                else:
                    conn.close()
            self._idle[name] = kept


def _is_usable(conn, address, is_idempotent, now):
    is_fresh = is_idempotent or now - conn.idle_since_s <= MAX_NON_IDEMPOTENT_IDLE_S
    return conn.is_open and conn.address == address and now < conn.usable_until_s and is_fresh
