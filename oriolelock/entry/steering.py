"""
oriolelock.entry.steering
~~~~~~~~~~~~~~~~~~~~~~~~~

    Admission, endpoint selection, retries and quarantine of an entry, under one lock. Also wakes
    the threads of queued requests.
"""

import collections
import collections.abc
import contextlib
import random
import threading
import uuid

from oriolelock import clock, outcomes
from oriolelock.admission import decisions, quarantine, retry_budget, scheduler, work_item
from oriolelock.endpoints import results
from oriolelock.entry import admission_signal, attempt_results
from oriolelock.model import configuration, endpoint, operation, priority
from oriolelock.routing import choice, result, router

__all__ = ["Steering"]

# How often a waiting request checks whether its caller has closed the connection.
CALLER_CHECK_INTERVAL_S = 0.1
# Responses carry load reports; an endpoint without a report for this long is polled.
MAX_REPORT_AGE_S = 0.9
INITIAL_SIZE_BYTES = 4096
# A request that waits for its claim does not occupy an endpoint, so that others may be admitted
# in its place. A claim between regions takes up to three times a short service time. With more
# claims per slot, requests would wait for an endpoint while their leases run.
CLAIMS_PER_SLOT = 2
SIZE_WEIGHT = 0.1
# Shares of the waiting threads by priority. Each waiting request occupies a thread; without these
# limits, a flood of one priority would leave no thread to read requests of the others.
WAITING_THREAD_SHARES = {
    priority.Priority.URGENT: 0.45,
    priority.Priority.NORMAL: 0.35,
    priority.Priority.DEFERRABLE: 0.2,
}


class Steering:
    """The decisions of one entry; thread-safe.

    ``threads`` is the number of threads of the HTTP server; half of them may wait in queues.
    """

    def __init__(
        self,
        name: str,
        region: str,
        threads: int,
        worker_slots: int,
        rng: random.Random,
        picker: str = "p2c",
    ):
        self._lock = threading.Lock()
        self._router = router.Router(name, region, picker)
        self._scheduler = scheduler.Scheduler(worker_slots, self._endpoint_capacity)
        self._budget = retry_budget.RetryBudget()
        self._quarantine = quarantine.Quarantine()
        self._rng = rng
        self._cfg = configuration.EMPTY
        self._mean_sizes: dict[str, float] = {}
        self._claiming: collections.Counter[str] = collections.Counter()
        self._waiting = dict.fromkeys(priority.Priority, 0)
        self._max_waiting = {
            level: max(1, int(threads / 2 * share))
            for level, share in WAITING_THREAD_SHARES.items()
        }

    def _endpoint_capacity(self, service, now):
        # At least one request is admitted, so that it can probe when all endpoints are ejected.
        capacity = max(1, self._router.in_flight_limit(service, now))
        return capacity + min(self._claiming[service], CLAIMS_PER_SLOT * capacity)

    def configure(self, cfg: configuration.Configuration, now: float, wall_s: float) -> None:
        """Apply a configuration. ``now`` is monotonic time, ``wall_s`` Unix time, in seconds."""
        with self._lock:
            self._cfg = cfg
            preset = cfg.preset_in_force()
            if preset is not None:
                self._scheduler.configure(preset)
            self._quarantine.configure(cfg.crashes)
            self._router.configure(cfg, now, wall_s)
            self._admit_next(now)

    def control_heard(self, now: float) -> None:
        """Note that control confirmed the configuration at ``now``."""
        with self._lock:
            self._router.record_control_contact(now)

    def tick(self, now: float, wall_s: float) -> None:
        """Update the state that depends on time; to be called every 50 ms."""
        with self._lock:
            self._router.tick(now, wall_s)
            self._admit_next(now)

    def admit(
        self,
        service: str,
        op: operation.Operation,
        deadline_s: float,
        now: float,
        is_gone: collections.abc.Callable[[], bool] = lambda: False,
    ) -> work_item.WorkItem | outcomes.NotRun:
        """Wait for a worker slot until ``deadline_s``; ``leave`` must follow an admission.

        ``is_gone`` returns whether the caller has closed its connection, which cancels the wait.
        """
        item = work_item.WorkItem(
            uuid.uuid4().hex, service, op.priority, deadline_s, admission_signal.AdmissionSignal()
        )
        with self._lock:
            decision = self._scheduler.offer(item, now)
            self._admit_next(now)
            if isinstance(decision, decisions.Admitted):
                return item
            if isinstance(decision, decisions.Refused):
                return outcomes.NotRun(decision.reason, decision.retry_after_ms)
            is_full = self._waiting[op.priority] >= self._max_waiting[op.priority]
            if is_full and self._scheduler.cancel(item, now):
                return outcomes.NotRun("queue-full", decision.expected_wait_s * 1000)
            self._waiting[op.priority] += 1
        return self._wait(item, is_gone)

    def wait_again(
        self,
        item: work_item.WorkItem,
        now: float,
        is_gone: collections.abc.Callable[[], bool] = lambda: False,
    ) -> work_item.WorkItem | outcomes.NotRun:
        """Put an admitted request that found no endpoint back to the head of its queue."""
        item.payload.reset()
        with self._lock:
            self._scheduler.requeue(item, now)
            # Nothing has changed since no endpoint was found, so no request is admitted now.
            self._refuse_evicted()
            self._waiting[item.priority] += 1
        return self._wait(item, is_gone)

    def _wait(self, item, is_gone):
        try:
            return self._wait_for_turn(item, is_gone)
        finally:
            with self._lock:
                self._waiting[item.priority] -= 1

    def _wait_for_turn(self, item, is_gone):
        while True:
            left_s = item.deadline_s - clock.monotonic_s()
            if item.payload.wait(max(0.0, min(left_s, CALLER_CHECK_INTERVAL_S))):
                break
            reason = "deadline-passed" if left_s <= 0 else "caller-gone" if is_gone() else ""
            if not reason:
                continue
            with self._lock:
                if self._scheduler.cancel(item, clock.monotonic_s()):
                    return outcomes.NotRun(reason)
        if item.payload.reason:
            return outcomes.NotRun(item.payload.reason)
        return item

    def leave(self, item: work_item.WorkItem, now: float) -> None:
        """Release the worker slot of an admitted request."""
        with self._lock:
            self._scheduler.finish(item, now)
            self._admit_next(now)

    def _admit_next(self, now):
        while item := self._scheduler.take(now):
            item.payload.grant()
        self._refuse_evicted()

    def _refuse_evicted(self):
        for evicted in self._scheduler.pop_evicted():
            evicted.item.payload.refuse(evicted.reason)

    def choose(
        self, service: str, op_name: str, now: float, exclude: collections.abc.Collection[str]
    ) -> choice.Choice | None:
        """Return the endpoint of the next attempt; ``finished`` must follow it."""
        size = int(self._mean_sizes.get(service, INITIAL_SIZE_BYTES))
        with self._lock:
            chosen = self._router.choose(service, op_name, size, now, self._rng, exclude)
            if chosen is not None:
                self._router.started(chosen, now)
        return chosen

    @contextlib.contextmanager
    def claiming(self, service: str) -> collections.abc.Iterator[None]:
        """Admit others in place of the request while it waits for its claim."""
        with self._lock:
            self._claiming[service] += 1
            self._admit_next(clock.monotonic_s())
        try:
            yield
        finally:
            with self._lock:
                self._claiming[service] -= 1

    def has_endpoint(self, service: str) -> bool:
        """Return whether any endpoint of ``service`` accepts new requests, now or soon."""
        with self._lock:
            return self._router.has_usable_endpoint(service)

    def finished(
        self,
        attempted: choice.Choice,
        res: results.Result,
        request_bytes: int,
        fingerprint: str,
        is_death: bool,
        now: float,
    ) -> bool:
        """Note how an attempt ended; return whether to report a crash to control.

        ``is_death``: the endpoint refuses connections after the attempt.
        """
        size = request_bytes + (len(res.body) if isinstance(res, results.Completed) else 0)
        routing_result = attempt_results.routing_result(res, size, is_death)
        with self._lock:
            self._router.finished(attempted, routing_result, now)
            service = attempted.endpoint.service
            mean_size = self._mean_sizes.get(service, float(size))
            self._mean_sizes[service] = mean_size + SIZE_WEIGHT * (size - mean_size)
            if routing_result.kind in (result.Kind.COMPLETE, result.Kind.ERROR):
                self._quarantine.record_completion(fingerprint, now)
            is_suspect = is_death and self._quarantine.record_death(
                fingerprint, attempted.endpoint.name, now
            )
            self._admit_next(now)
        return is_suspect

    def restarted(self, target: endpoint.Endpoint, now: float) -> None:
        """Note that an endpoint has probably started again at its address."""
        with self._lock:
            self._router.record_restart(target, now)

    def reported(self, endpoint_name: str, report: result.LoadReport, now: float) -> None:
        """Process a polled load report."""
        with self._lock:
            self._router.apply_load_report(endpoint_name, report, now)

    def poll_refused(self, endpoint_name: str, now: float) -> None:
        """Note that nothing listened at an endpoint when its load was polled."""
        with self._lock:
            self._router.record_refused_poll(endpoint_name, now)

    def unreported(self, now: float) -> list[endpoint.Endpoint]:
        """Return the endpoints without a recent load report."""
        with self._lock:
            return self._router.endpoints_with_stale_load(now, MAX_REPORT_AGE_S)

    def first_attempt(self, service: str, now: float) -> None:
        """Count a first attempt towards the retry budget."""
        with self._lock:
            self._budget.record_first_attempt(service, now)

    def may_retry(self, service: str, fingerprint: str, now: float, wall_s: float) -> bool:
        """Return whether another attempt is allowed, and if so charge it to the retry budget."""
        with self._lock:
            if not self._quarantine.may_retry(fingerprint, now, wall_s):
                return False
            return self._budget.try_retry(service, now)

    def blocked_s(self, fingerprint: str, now: float, wall_s: float) -> float:
        """Return for how many seconds the request is quarantined, 0 if it is not."""
        with self._lock:
            return self._quarantine.blocked_s(fingerprint, now, wall_s)

    def dump(self) -> dict:
        """Return the state for operators."""
        with self._lock:
            return {
                "router": self._router.dump(),
                "scheduler": self._scheduler.dump(),
                "retry_budget": self._budget.dump(),
                "quarantine": self._quarantine.dump(),
                "waiting": {level.name.lower(): n for level, n in self._waiting.items()},
            }
