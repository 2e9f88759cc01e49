"""
oriolelock.endpoints.pool
~~~~~~~~~~~~~~~~~~~~~~~~~

    Connection pool with a bounded number of persistent connections per endpoint.
"""

import collections
import collections.abc
import concurrent.futures
import dataclasses
import threading

import pycurl

from oriolelock import clock, logs
from oriolelock.endpoints import (
    classifier,
    connection,
    handle,
    request,
    restart_signs,
    results,
)
from oriolelock.model import endpoint as endpoints

__all__ = ["Pool"]

IDLE_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 1.0
CANCEL_THREADS = 4
MAX_PENDING_CANCELS = 256
ENDED_ERRORS = (*classifier.LOST_ERRORS, *classifier.TRUNCATED_ERRORS)

OnRestart = collections.abc.Callable[[endpoints.Endpoint, float], None]
log = logs.get_logger("endpoints")


@dataclasses.dataclass
class _EndpointConnections:
    """Connections to one endpoint; idle ones are reused in LIFO order.

    Connections of an earlier ``generation`` are closed instead of reused.
    """

    idle: collections.deque = dataclasses.field(default_factory=collections.deque)
    in_use: set[connection.Connection] = dataclasses.field(default_factory=set)
    generation: int = 0
    signs: restart_signs.RestartSigns = dataclasses.field(
        default_factory=restart_signs.RestartSigns
    )


class Pool:
    """Connection pool; thread-safe.

    ``connection_limit`` returns the maximum number of connections to an endpoint.
    ``on_restart(endpoint, now)`` is called, before a request is sent on, when all connections to
    an endpoint have ended together.
    """

    def __init__(
        self,
        connection_limit: collections.abc.Callable[[endpoints.Endpoint], int],
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        on_restart: OnRestart = lambda endpoint, now: None,
    ):
        self._connection_limit = connection_limit
        self._idle_timeout_s = idle_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._on_restart = on_restart
        self._lock = threading.Lock()
        self._connections: dict[str, _EndpointConnections] = {}
        self._cancel_executor = concurrent.futures.ThreadPoolExecutor(CANCEL_THREADS, "cancel")
        self._cancel_permits = threading.BoundedSemaphore(MAX_PENDING_CANCELS)

    def exchange(
        self, req: request.Request, endpoint: endpoints.Endpoint, timeout_s: float
    ) -> results.Result:
        """Send ``req`` and return the result within about ``timeout_s``.

        A request that is not idempotent is sent once, on a new connection. Raises
        UnsendableRequest if the request cannot be serialized as HTTP.
        """
        start_s = clock.monotonic_s()
        conn = self._acquire(endpoint, start_s)
        if conn is None:
            return results.NotSent("no-connection", 0.0)
        is_reusable = False
        try:
            if conn.close_if_stale():
                self._note_end(endpoint, conn, start_s)
            if not req.idempotent:
                conn.close()
            result = self._attempt(conn, req, endpoint, start_s, timeout_s)
            is_reusable = isinstance(result, results.Completed | results.RefusedByEndpoint)
        finally:
            self._release(endpoint, conn, is_reusable)
        if isinstance(result, results.TimedOut):
            self._schedule_cancel(endpoint, req)
        return result

    def _attempt(self, conn, req, endpoint, start_s, timeout_s):
        reused = conn.is_open
        transfer = self._transfer(conn, req, endpoint, start_s, timeout_s, reused)
        silent_connections = 0
        may_have_run_before = transfer.reconnected
        if transfer.first_byte_timeout:
            # Other idle connections to this endpoint may be dead as well.
            self._discard_connections(endpoint, conn)
            silent_connections, may_have_run_before = 1, True
            transfer = self._transfer(conn, req, endpoint, start_s, timeout_s, False)
        result = classifier.classify(req, transfer, clock.monotonic_s() - start_s)
        if may_have_run_before and isinstance(result, results.NotSent | results.RefusedByEndpoint):
            # Only the second transmission is known not to have run.
            result = results.ConnectionLost(result.elapsed_s)
        return (
            dataclasses.replace(result, silent_connections=silent_connections)
            if silent_connections
            else result
        )

    def _transfer(self, conn, req, endpoint, start_s, timeout_s, reused):
        now = clock.monotonic_s()
        deadline_s = start_s + timeout_s
        remaining_s = max(0.001, deadline_s - now)
        connect_timeout_s = min(self._connect_timeout_s, remaining_s)
        if req.connect_timeout_s is not None:
            connect_timeout_s = min(connect_timeout_s, req.connect_timeout_s)
        curl = handle.make(
            endpoint.address, req, max(1, int(remaining_s * 1000)), connect_timeout_s
        )
        transfer = connection.Transfer()
        try:
            conn.transfer(
                curl, transfer, deadline_s, now + req.first_byte_timeout_s if reused else None
            )
        finally:
            curl.close()
        if transfer.reconnected or transfer.error in ENDED_ERRORS:
            self._note_end(endpoint, conn, clock.monotonic_s())
        return transfer

    def _acquire(self, endpoint, now):
        limit = self._connection_limit(endpoint)
        stale = []
        with self._lock:
            connections = self._connections.setdefault(endpoint.address, _EndpointConnections())
            while connections.idle and connections.idle[0].last_used_s < now - self._idle_timeout_s:
                stale.append(connections.idle.popleft())
            if len(connections.in_use) >= limit:
                conn = None
            else:
                # Idle connections also count towards the limit.
                while connections.idle and len(connections.in_use) + len(connections.idle) > limit:
                    stale.append(connections.idle.popleft())
                conn = connections.idle.pop() if connections.idle else connection.Connection()
                conn.generation = connections.generation
                connections.in_use.add(conn)
        for stale_conn in stale:
            stale_conn.close()
        return conn

    def _release(self, endpoint, conn, is_reusable):
        if not is_reusable:
            conn.close()
        with self._lock:
            connections = self._connections[endpoint.address]
            connections.in_use.discard(conn)
            is_reusable = is_reusable and conn.is_open and conn.generation == connections.generation
            if is_reusable:
                connections.idle.append(conn)
        if not is_reusable:
            conn.close()

    def _note_end(self, endpoint, conn, now):
        """Note that the endpoint ended a connection, and look whether it ended all of them."""
        with self._lock:
            connections = self._connections[endpoint.address]
            ended = {conn} | {c for c in connections.idle if c.close_if_stale()}
            connections.idle = collections.deque(c for c in connections.idle if c not in ended)
            for c in ended:
                connections.signs.record_end(c.opened_s, c.last_used_s, c.was_reused, now)
            # The request may go on over another connection in its place.
            conn.opened_s, conn.was_reused = now, False
            still_open = connections.in_use.union(connections.idle)
            has_restarted = connections.signs.has_restarted([c.opened_s for c in still_open], now)
        if has_restarted:
            log.info("{} has started again: all connections to it ended together.", endpoint.name)
            self._on_restart(endpoint, now)

    def _discard_connections(self, endpoint, conn):
        conn.close()
        with self._lock:
            connections = self._connections[endpoint.address]
            connections.generation += 1
            conn.generation = connections.generation
            idle, connections.idle = connections.idle, collections.deque()
        for idle_conn in idle:
            idle_conn.close()

    def sweep(self, now: float, addresses: collections.abc.Set[str] | None = None) -> None:
        """Close connections past the idle timeout, and all idle ones not in ``addresses``."""
        stale = []
        with self._lock:
            for address, connections in list(self._connections.items()):
                is_removed = addresses is not None and address not in addresses
                while connections.idle and (
                    is_removed or connections.idle[0].last_used_s < now - self._idle_timeout_s
                ):
                    stale.append(connections.idle.popleft())
                if is_removed and not connections.in_use:
                    del self._connections[address]
        for conn in stale:
            conn.close()

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return the number of connections in use and idle by endpoint address."""
        with self._lock:
            return {
                address: (len(connections.in_use), len(connections.idle))
                for address, connections in self._connections.items()
            }

    def _schedule_cancel(self, endpoint, req):
        if not self._cancel_permits.acquire(blocking=False):
            return
        try:
            fut = self._cancel_executor.submit(self._cancel, endpoint, req.request_id)
        except RuntimeError:  # the pool is closed
            self._cancel_permits.release()
            return
        fut.add_done_callback(lambda _: self._cancel_permits.release())

    def _cancel(self, endpoint, request_id):
        now = clock.monotonic_s()
        conn = self._acquire(endpoint, now)
        if conn is None:
            return
        cancel = request.Request(request_id, "POST", f"/cancel/{request_id}", (), b"", False)
        try:
            conn.close()
            self._transfer(conn, cancel, endpoint, now, CANCEL_TIMEOUT_S, False)
        except pycurl.error as exc:
            log.info("cancel of {} at {} failed: {}", request_id, endpoint.address, exc)
        finally:
            self._release(endpoint, conn, False)

    def close(self) -> None:
        """Close all idle connections and finish pending cancels."""
        self._cancel_executor.shutdown(wait=True)
        with self._lock:
            idle = [conn for connections in self._connections.values() for conn in connections.idle]
            for connections in self._connections.values():
                connections.idle.clear()
        for conn in idle:
            conn.close()
