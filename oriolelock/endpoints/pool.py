"""
oriolelock.endpoints.pool
~~~~~~~~~~~~~~~~~~~~~~~~~

    Exchanges with endpoints over a bounded number of reused connections to each.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import threading

import pycurl

from oriolelock import clock, logs
from oriolelock.endpoints import answer, connection, handle, request, results
from oriolelock.model import endpoint as endpoints

__all__ = ["Pool"]

IDLE_LIMIT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
CANCEL_THREADS = 4
MAX_PENDING_CANCELS = 256

log = logs.get_logger("endpoints")


@dataclasses.dataclass
class _Slots:
    """The connections to one endpoint. Idle ones are reused last in, first out."""

    idle: collections.deque = dataclasses.field(default_factory=collections.deque)
    taken: int = 0
    generation: int = 0


class Pool:
    """Thread-safe. ``limit_of`` returns the number of connections to an endpoint."""

    def __init__(
        self,
        limit_of: collections.abc.Callable[[endpoints.Endpoint], int],
        idle_limit_s: float = IDLE_LIMIT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ):
        self._limit_of = limit_of
        self._idle_limit_s = idle_limit_s
        self._connect_timeout_s = connect_timeout_s
        self._lock = threading.Lock()
        self._slots: dict[str, _Slots] = {}
        self._cancels = concurrent.futures.ThreadPoolExecutor(CANCEL_THREADS, "cancel")
        self._cancel_room = threading.BoundedSemaphore(MAX_PENDING_CANCELS)

    def exchange(
        self, req: request.Request, endpoint: endpoints.Endpoint, timeout_s: float
    ) -> results.Result:
        """Send ``req`` and return how it ended, within about ``timeout_s``.

        Work that is not idempotent is sent on a new connection, once. Raises
        UnsendableRequest when the request cannot be written as HTTP.
        """
        start_s = clock.monotonic_s()
        conn = self._take(endpoint, start_s)
        if conn is None:
            return results.NotSent("no-connection", 0.0)
        keep = False
        try:
            if not req.idempotent:
                conn.close()
            result = self._attempt(conn, req, endpoint, start_s, timeout_s)
            keep = isinstance(result, results.Completed | results.RefusedByEndpoint)
        finally:
            self._give_back(endpoint, conn, keep)
        if isinstance(result, results.TimedOut):
            self._cancel_later(endpoint, req)
        return result

    def _attempt(self, conn, req, endpoint, start_s, timeout_s):
        conn.close_if_ended()
        reused = conn.is_open
        got = self._transfer(conn, req, endpoint, start_s, timeout_s, reused)
        silent = 0
        sent_before = got.reconnected
        if got.silent:
            # Other kept connections to this endpoint may have gone silent in the same way.
            self._renew(endpoint, conn)
            silent, sent_before = 1, True
            got = self._transfer(conn, req, endpoint, start_s, timeout_s, False)
        result = answer.judge(req, got, clock.monotonic_s() - start_s)
        if sent_before and isinstance(result, results.NotSent | results.RefusedByEndpoint):
            # Only the second sending is known not to have run.
            result = results.ConnectionLost(result.elapsed_s)
        return dataclasses.replace(result, silent=silent) if silent else result

    def _transfer(self, conn, req, endpoint, start_s, timeout_s, reused):
        now = clock.monotonic_s()
        end_s = start_s + timeout_s
        left_s = max(0.001, end_s - now)
        connect_s = min(self._connect_timeout_s, left_s)
        if req.connect_s is not None:
            connect_s = min(connect_s, req.connect_s)
        curl = handle.make(endpoint.address, req, max(1, int(left_s * 1000)), connect_s)
        got = connection.Transfer()
        try:
            conn.transfer(curl, got, end_s, now + req.first_byte_s if reused else None)
        finally:
            curl.close()
        return got

    def _take(self, endpoint, now):
        limit = self._limit_of(endpoint)
        stale = []
        with self._lock:
            slots = self._slots.setdefault(endpoint.address, _Slots())
            while slots.idle and slots.idle[0].used_s < now - self._idle_limit_s:
                stale.append(slots.idle.popleft())
            if slots.taken >= limit:
                conn = None
            else:
                # Idle connections count towards the limit too.
                while slots.idle and slots.taken + len(slots.idle) > limit:
                    stale.append(slots.idle.popleft())
                conn = slots.idle.pop() if slots.idle else connection.Connection()
                conn.generation = slots.generation
                slots.taken += 1
        for old in stale:
            old.close()
        return conn

    def _give_back(self, endpoint, conn, keep):
        if not keep:
            conn.close()
        with self._lock:
            slots = self._slots[endpoint.address]
            slots.taken -= 1
            keep = keep and conn.generation == slots.generation
            if keep:
                slots.idle.append(conn)
        if not keep:
            conn.close()

    def _renew(self, endpoint, conn):
        conn.close()
        with self._lock:
            slots = self._slots[endpoint.address]
            slots.generation += 1
            conn.generation = slots.generation
            idle, slots.idle = slots.idle, collections.deque()
        for old in idle:
            old.close()

    def sweep(self, now: float, addresses: collections.abc.Set[str] | None = None) -> None:
        """Close idle connections over the limit, and all to endpoints not in ``addresses``."""
        stale = []
        with self._lock:
            for address, slots in list(self._slots.items()):
                gone = addresses is not None and address not in addresses
                while slots.idle and (gone or slots.idle[0].used_s < now - self._idle_limit_s):
                    stale.append(slots.idle.popleft())
                if gone and not slots.taken:
                    del self._slots[address]
        for conn in stale:
            conn.close()

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return per endpoint address the connections in use and idle."""
        with self._lock:
            return {a: (s.taken, len(s.idle)) for a, s in self._slots.items()}

    def _cancel_later(self, endpoint, req):
        if not self._cancel_room.acquire(blocking=False):
            return
        try:
            fut = self._cancels.submit(self._cancel, endpoint, req.request_id)
        except RuntimeError:  # the pool is closed
            self._cancel_room.release()
            return
        fut.add_done_callback(lambda _: self._cancel_room.release())

    def _cancel(self, endpoint, request_id):
        now = clock.monotonic_s()
        conn = self._take(endpoint, now)
        if conn is None:
            return
        cancel = request.Request(request_id, "POST", f"/cancel/{request_id}", (), b"", False)
        try:
            conn.close()
            self._transfer(conn, cancel, endpoint, now, CANCEL_TIMEOUT_S, False)
        except pycurl.error as exc:
            log.info("cancel of {} at {} failed: {}", request_id, endpoint.address, exc)
        finally:
            self._give_back(endpoint, conn, False)

    def close(self) -> None:
        """Close all idle connections and finish pending cancels."""
        self._cancels.shutdown(wait=True)
        with self._lock:
            idle = [conn for slots in self._slots.values() for conn in slots.idle]
            for slots in self._slots.values():
                slots.idle.clear()
        for conn in idle:
            conn.close()
