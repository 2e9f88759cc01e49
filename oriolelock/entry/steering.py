"""
oriolelock.entry.steering
~~~~~~~~~~~~~~~~~~~~~~~~~

    The decisions of an entry behind one lock: admission, choice of endpoint, retries,
    quarantine. Threads of waiting requests are woken here.
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
from oriolelock.entry import turn, verdicts
from oriolelock.model import configuration, endpoint, operation, priority
from oriolelock.routing import choice, result, router

__all__ = ["Steering"]

# How often a waiting request looks whether its caller has gone.
WAIT_STEP_S = 0.1
# Answers bring reports too; an endpoint is polled when none has come for this long.
REPORT_AGE_S = 0.9
SIZE_FIRST_BYTES = 4096
# A request that waits for its claim is not at an endpoint, so others may use its place there.
# A claim between regions takes up to three times a short service time; more of them would only
# wait for an endpoint with their leases running.
CLAIMS_PER_ROOM = 2
SIZE_WEIGHT = 0.1
# Parts of the threads that may wait in queues, by priority. Each waiting request holds a
# thread; without these parts a flood of one priority would leave none to read the others.
WAITING_PARTS = {
    priority.Priority.URGENT: 0.45,
    priority.Priority.NORMAL: 0.35,
    priority.Priority.DEFERRABLE: 0.2,
}


class Steering:
    """Thread-safe. ``threads``: of the HTTP server; half of them may wait in queues."""

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
        self._scheduler = scheduler.Scheduler(worker_slots, self._room)
        self._budget = retry_budget.RetryBudget()
        self._quarantine = quarantine.Quarantine()
        self._rng = rng
        self._cfg = configuration.EMPTY
        self._sizes: dict[str, float] = {}
        self._claiming: collections.Counter[str] = collections.Counter()
        self._waiting = dict.fromkeys(priority.Priority, 0)
        self._max_waiting = {
            level: max(1, int(threads / 2 * part)) for level, part in WAITING_PARTS.items()
        }

    def _room(self, service, now):
        # One request always gets through, so that it can probe when all are ejected.
        room = max(1, self._router.in_flight_limit(service, now))
        return room + min(self._claiming[service], CLAIMS_PER_ROOM * room)

    def configure(self, cfg: configuration.Configuration, now: float, wall_s: float) -> None:
        """Use a configuration. ``now`` is monotonic, ``wall_s`` Unix time."""
        with self._lock:
            self._cfg = cfg
            preset = cfg.preset_in_force()
            if preset is not None:
                self._scheduler.configure(preset)
            self._quarantine.configure(cfg.crashes)
            self._router.configure(cfg, now, wall_s)
            self._wake(now)

    def control_heard(self, now: float) -> None:
        """Note that control has confirmed the configuration."""
        with self._lock:
            self._router.record_control_contact(now)

    def tick(self, now: float, wall_s: float) -> None:
        """Refresh what changes with time; call each 50 ms."""
        with self._lock:
            self._router.tick(now, wall_s)
            self._wake(now)

    def admit(
        self,
        service: str,
        op: operation.Operation,
        end_s: float,
        now: float,
        is_gone: collections.abc.Callable[[], bool] = lambda: False,
    ) -> work_item.WorkItem | outcomes.NotRun:
        """Wait for a worker slot until ``end_s``; ``leave`` must follow an admission.

        ``is_gone`` tells whether the caller has left, which cancels the wait.
        """
        item = work_item.WorkItem(uuid.uuid4().hex, service, op.priority, end_s, turn.Turn())
        with self._lock:
            decision = self._scheduler.offer(item, now)
            self._wake(now)
            if isinstance(decision, decisions.Admitted):
                return item
            if isinstance(decision, decisions.Refused):
                return outcomes.NotRun(decision.reason, decision.retry_after_ms)
            is_full = self._waiting[op.priority] >= self._max_waiting[op.priority]
            if is_full and self._scheduler.cancel(item, now):
                return outcomes.NotRun("queue-full", decision.expected_wait_s * 1000)
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
            # It is not taken at once: nothing has changed since no endpoint was found.
            self._collect_evicted()
        return self._wait(item, is_gone)

    def _wait(self, item, is_gone):
        with self._lock:
            self._waiting[item.priority] += 1
        try:
            return self._wait_for_turn(item, is_gone)
        finally:
            with self._lock:
                self._waiting[item.priority] -= 1

    def _wait_for_turn(self, item, is_gone):
        while True:
            left_s = item.deadline_s - clock.monotonic_s()
            if item.payload.wait(max(0.0, min(left_s, WAIT_STEP_S))):
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
        """End a request that was admitted."""
        with self._lock:
            self._scheduler.finish(item, now)
            self._wake(now)

    def _wake(self, now):
        while item := self._scheduler.take(now):
            item.payload.grant()
        self._collect_evicted()

    def _collect_evicted(self):
        for evicted in self._scheduler.pop_evicted():
            evicted.item.payload.refuse(evicted.reason)

    def choose(
        self, service: str, op_name: str, now: float, exclude: collections.abc.Collection[str]
    ) -> choice.Choice | None:
        """Return the endpoint of the next attempt; ``finished`` must follow it."""
        size = int(self._sizes.get(service, SIZE_FIRST_BYTES))
        with self._lock:
            found = self._router.choose(service, op_name, size, now, self._rng, exclude)
            if found is not None:
                self._router.started(found, now)
        return found

    @contextlib.contextmanager
    def claiming(self, service: str) -> collections.abc.Iterator[None]:
        """Let others use the request's place at endpoints while it waits for its claim."""
        with self._lock:
            self._claiming[service] += 1
            self._wake(clock.monotonic_s())
        try:
            yield
        finally:
            with self._lock:
                self._claiming[service] -= 1

    def has_endpoint(self, service: str) -> bool:
        """Return whether any endpoint of ``service`` may get new work, now or soon."""
        with self._lock:
            return self._router.has_usable_endpoint(service)

    def finished(
        self,
        used: choice.Choice,
        res: results.Result,
        request_bytes: int,
        mark: str,
        is_death: bool,
        now: float,
    ) -> bool:
        """Note how an attempt ended; returns whether to report a death to control."""
        size = request_bytes + (len(res.body) if isinstance(res, results.Completed) else 0)
        told = verdicts.to_routing(res, size, is_death)
        with self._lock:
            self._router.finished(used, told, now)
            service = used.endpoint.service
            old = self._sizes.get(service, float(size))
            self._sizes[service] = old + SIZE_WEIGHT * (size - old)
            if told.kind in (result.Kind.COMPLETE, result.Kind.ERROR):
                self._quarantine.record_completion(mark, now)
            is_suspect = is_death and self._quarantine.record_death(mark, used.endpoint.name, now)
            self._wake(now)
        return is_suspect

    def reported(self, endpoint_name: str, news: result.LoadReport, now: float) -> None:
        """Take a load report that was polled."""
        with self._lock:
            self._router.apply_load_report(endpoint_name, news, now)

    def unreported(self, now: float) -> list[endpoint.Endpoint]:
        """Return the endpoints that have not reported their load lately."""
        with self._lock:
            return self._router.endpoints_with_stale_load(now, REPORT_AGE_S)

    def first_attempt(self, service: str, now: float) -> None:
        """Count a first attempt towards the retry budget."""
        with self._lock:
            self._budget.record_first_attempt(service, now)

    def may_retry(self, service: str, mark: str, now: float, wall_s: float) -> bool:
        """Return whether another attempt may be made, and count it."""
        with self._lock:
            if not self._quarantine.may_retry(mark, now, wall_s):
                return False
            return self._budget.try_retry(service, now)

    def is_blocked(self, mark: str, now: float, wall_s: float) -> bool:
        """Return whether the request is quarantined."""
        with self._lock:
            return self._quarantine.is_blocked(mark, now, wall_s)

    def dump(self) -> dict:
        """Return the state for a state dump."""
        with self._lock:
            return {
                "router": self._router.dump(),
                "scheduler": self._scheduler.dump(),
                "retry_budget": self._budget.dump(),
                "quarantine": self._quarantine.dump(),
                "waiting": {level.name.lower(): n for level, n in self._waiting.items()},
            }
