"""
oriolelock.standin.endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One emulated endpoint: slots, service times, cold start, cancellation and faults.
"""

import collections.abc
import dataclasses
import os
import random
import select
import socket
import threading

import werkzeug.wrappers

from oriolelock import clock, logs
from oriolelock.settings import fault as faults
from oriolelock.settings import standin_endpoint
from oriolelock.standin import answers, fault_board, run_log, server, slots

__all__ = ["CRASH_EXIT_CODE", "Endpoint"]

CRASH_EXIT_CODE = 70
# Bounds the time that a silent connection holds a thread when its peer never closes.
SILENT_LIMIT_S = 600.0
NO_DEADLINE_MS = 600_000.0

log = logs.get_logger("stand-in")


@dataclasses.dataclass(frozen=True)
class _Work:
    """What the endpoint needs to know of one request."""

    request_id: str
    key: str
    operation: str
    path: str
    body: bytes
    end_s: float
    cancelled: threading.Event


class Endpoint:
    """State of one endpoint. ``on_crash`` is called for a crash that closes the listener."""

    def __init__(
        self,
        cfg: standin_endpoint.EndpointSettings,
        runs: run_log.RunLog,
        rng: random.Random,
        on_crash: collections.abc.Callable[[faults.Fault], None],
    ):
        self.cfg = cfg
        self.runs = runs
        self.board = fault_board.FaultBoard(cfg.faults)
        self.slots = slots.Slots(cfg.slots, cfg.queue)
        self.stopping = False
        self._is_crashed = False
        self._rng = rng
        self._on_crash = on_crash
        self._lock = threading.Lock()
        self._cancels: dict[str, threading.Event] = {}
        # Monotonic time of the latest request, refused ones included.
        self.requested_s = float("-inf")
        self._last = ("none", answers.digest_of(b"none"))
        self._cold = (clock.monotonic_s(), cfg.cold_ms / 1000, cfg.cold_factor)

    def command(self, data: object) -> None:
        """Switch a fault on or off; raises SettingsError."""
        item = self.board.command(data)
        if item is not None and item.kind == "cold":
            self._cold = (clock.monotonic_s(), item.delay_ms / 1000, item.factor)

    def cancel(self, request_id: str) -> bool:
        """Cancel waiting or running work; returns whether there was any."""
        event = self._cancels.get(request_id)
        if event is None:
            return False
        event.set()
        self.slots.wake()
        return True

    def state(self) -> str:
        """Return ``serving``, ``cold`` or ``draining``."""
        if self.stopping or self.board.peek("draining"):
            return "draining"
        return "cold" if self._cold_multiplier() > 1.0 else "serving"

    def _cold_multiplier(self):
        start_s, length_s, factor = self._cold
        passed_s = clock.monotonic_s() - start_s
        if passed_s >= length_s:
            return 1.0
        return 1.0 + (factor - 1.0) * (1.0 - passed_s / length_s)

    def load(self) -> dict[str, object]:
        """Return the load report, as late or wrong as the faults make it."""
        lag, lie = self.board.peek("load-lag"), self.board.peek("load-lie")
        lag_ms = lag.delay_ms if lag else 0.0
        in_flight, queued = self.slots.figures(lag_ms / 1000)
        if lie:
            in_flight, queued, lag_ms = lie.in_flight, lie.queued, 0.0
        return {
            "in_flight": in_flight,
            "slots": self.cfg.slots,
            "queued": queued,
            "state": self.state(),
            "age_ms": lag_ms,
        }

    def load_header(self) -> str:
        """Return the value of ``X-Load``."""
        load = self.load()
        return f"in_flight={load['in_flight']};slots={load['slots']};queued={load['queued']}"

    def serve(self, req: werkzeug.wrappers.Request) -> werkzeug.wrappers.Response:
        """Run a request, or refuse it."""
        work = _read_work(req)
        self.requested_s = clock.monotonic_s()
        with self._lock:
            self._cancels[work.request_id] = work.cancelled
        try:
            resp = self._serve(work)
        finally:
            with self._lock:
                self._cancels.pop(work.request_id, None)
        resp.headers["X-Load"] = self.load_header()
        resp.headers["X-State"] = self.state()
        return resp

    def _serve(self, work):
        if self.state() == "draining":
            return answers.refused(work.request_id, "draining")
        if self.board.take("shed", work.path, work.body):
            return answers.refused(work.request_id, "shed")
        work_s = self._draw_service_s(work)
        refusal = self.slots.enter(work_s, work.end_s, work.cancelled.is_set)
        if refusal:
            return answers.refused(work.request_id, refusal)
        digest = answers.digest_of(work.body)
        try:
            is_done = self._run(work, work_s, digest)
        finally:
            self.slots.leave()
        if not is_done:
            return werkzeug.wrappers.Response(
                "cancelled while running\n", 500, {"X-Request-Id": work.request_id}
            )
        return self._answer(work, digest)

    def _draw_service_s(self, work):
        mean_s = self.cfg.service_ms / 1000 * self._cold_multiplier()
        slow = self.board.take("slow", work.path, work.body)
        if slow:
            mean_s *= slow.factor
        if self.cfg.distribution == "exponential" and mean_s > 0:
            with self._lock:
                return self._rng.expovariate(1.0 / mean_s)
        return mean_s

    def _run(self, work, work_s, digest):
        run = self.runs.start(
            endpoint=self.cfg.name,
            request_id=work.request_id,
            key=work.key,
            service=self.cfg.service,
            operation=work.operation,
            digest=digest,
        )
        crash = self.board.take("crash", work.path, work.body)
        if crash:
            self._crash(crash, run)
        is_cancelled = work.cancelled.wait(work_s)
        outcome = "cancelled" if is_cancelled else "complete"
        self.runs.end(run, "crashed" if self._is_crashed else outcome)
        return not is_cancelled

    def _crash(self, crash, run):
        log.warning(f"{self.cfg.name}: crash while it runs {run.request_id}")
        if crash.mode == "exit":
            os._exit(CRASH_EXIT_CODE)
        self._is_crashed = True
        self.runs.end(run, "crashed")
        self._on_crash(crash)
        with self._lock:
            for event in self._cancels.values():
                event.set()
        # The listener closes before the connections, so that a caller that loses its
        # connection can't connect again to the dying endpoint.
        _wait_for_close(server.current_socket())
        raise ConnectionAbortedError("endpoint crashed")

    def _answer(self, work, digest):
        late = self.board.take("late", work.path, work.body)
        if late:
            work.cancelled.wait(late.delay_ms / 1000)
        if self.board.take("silent", work.path, work.body):
            _wait_for_close(server.current_socket())
            raise ConnectionAbortedError("silent connection closed by its peer")
        request_id = work.request_id
        with self._lock:
            other, self._last = self._last, (request_id, digest)
        if self.board.take("crossed", work.path, work.body):
            request_id, digest = other
        resp = answers.completed(
            self.cfg.name, request_id, digest, work.operation, self.cfg.answer_bytes
        )
        if self.board.take("truncated", work.path, work.body):
            return answers.truncate(resp, server.current_socket())
        return resp


def _read_work(req):
    try:
        deadline_ms = float(req.headers.get("X-Deadline-Ms", NO_DEADLINE_MS))
    except ValueError:
        deadline_ms = 0.0
    return _Work(
        req.headers.get("X-Request-Id", ""),
        req.headers.get("Idempotency-Key", ""),
        req.headers.get("Oriolelock-Operation", ""),
        req.full_path,
        req.get_data(),
        clock.monotonic_s() + min(deadline_ms, NO_DEADLINE_MS) / 1000,
        threading.Event(),
    )


def _wait_for_close(sock: socket.socket) -> None:
    """Return when the peer closes the connection; swallow what it sends until then."""
    end_s = clock.monotonic_s() + SILENT_LIMIT_S
    while clock.monotonic_s() < end_s:
        readable, _, _ = select.select([sock], [], [], 0.5)
        try:
            if readable and not sock.recv(65536):
                return
        except OSError:
            return
