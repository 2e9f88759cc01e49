"""
oriolelock.control.calls
~~~~~~~~~~~~~~~~~~~~~~~~

    Calls to the leader of a group, wherever it is, with retry until a deadline.
"""

import collections.abc
import concurrent.futures
import dataclasses
import itertools
import threading

from oriolelock import clock, logs
from oriolelock.control import envelope, messages, unavailable
from oriolelock.once import messages as once_messages

__all__ = ["Calls"]

# Two rounds of heartbeats after an election, so that a new leader is found soon.
RETRY_S = 0.1
CHECK_S = 0.05
# Commands that carry an id under which their state machine applies them once. They may be sent
# to a new leader although the old one may have taken them. Others, such as crash reports,
# would count twice.
RESENDABLE = (
    envelope.OperatorChange,
    messages.ConfirmRead,
    once_messages.ClaimKey,
    once_messages.CompleteKey,
    once_messages.ReleaseKey,
)

log = logs.get_logger("control.calls")


@dataclasses.dataclass
class _Call:
    call_id: str
    group: str
    payload: object
    deadline_s: float
    fut: concurrent.futures.Future
    target: str = ""
    retry_at_s: float | None = None
    reason: str = "no leader is known"
    # Some leader may have taken it although no result came back.
    uncertain: bool = False
    answered: bool = False

    def retry(self, reason: str) -> None:
        """Have it sent again a little later."""
        self.reason = reason
        self.retry_at_s = clock.monotonic_s() + RETRY_S


class Calls:
    """Routes calls to the own host or by a peer link; no thread waits for a single call."""

    def __init__(self, name: str, hosts: dict, send: collections.abc.Callable):
        self._name = name
        self._hosts = hosts
        self._send = send
        self._lock = threading.Lock()
        self._open: dict[str, _Call] = {}
        # Distinct from the ids of an earlier process of this replica.
        self._prefix = f"{name}-{clock.wall_s():.6f}-"
        self._ids = itertools.count(1)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="calls", daemon=True)

    def start(self) -> None:
        """Start the thread that retries and expires calls."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()

    def call(self, group: str, payload: object, timeout_s: float) -> concurrent.futures.Future:
        """Return a future of the result of ``payload``; ``Unavailable`` at the latest after
        ``timeout_s``."""
        fut = concurrent.futures.Future()
        if group not in self._hosts:
            fut.set_result(unavailable.Unavailable(f"there is no group {group!r}"))
            return fut
        call_id = self._prefix + str(next(self._ids))
        item = _Call(call_id, group, payload, clock.monotonic_s() + timeout_s, fut)
        with self._lock:
            self._open[call_id] = item
        self._dispatch(item)
        return fut

    def serve(self, group: str, payload: object) -> concurrent.futures.Future:
        """Return a future of the result if this replica leads ``group``."""
        host = self._hosts[group]
        if isinstance(payload, messages.ConfirmRead):
            return host.confirm_read()
        return host.propose(payload)

    def replied(self, reply: messages.ForwardReply) -> None:
        """Take the reply of another replica."""
        with self._lock:
            item = self._open.get(reply.call_id)
        if item:
            self._finish(item, reply.result)

    def _dispatch(self, item):
        leader = self._hosts[item.group].status().leader
        item.target = leader
        if not leader:
            item.retry("no leader is known")
            return
        item.retry_at_s = None
        if leader == self._name:
            fut = self.serve(item.group, item.payload)
            fut.add_done_callback(lambda done: self._finish(item, done.result()))
        elif not self._send(leader, messages.Forward(item.call_id, item.group, item.payload)):
            item.retry(f"no connection to the leader {leader}")

    def _finish(self, item, result):
        if isinstance(result, unavailable.Unavailable):
            item.uncertain = item.uncertain or not result.retry
            if result.retry or isinstance(item.payload, RESENDABLE):
                item.retry(result.reason)
                return
        if isinstance(result, messages.Confirmed):
            item.answered = True
            applied = self._hosts[item.group].wait_applied(result.index, result)
            applied.add_done_callback(lambda done: self._resolve(item, done.result()))
            return
        self._resolve(item, result)

    def _resolve(self, item, result):
        with self._lock:
            if self._open.pop(item.call_id, None) is None:
                return
        item.fut.set_result(result)

    def _run(self):
        while not self._stopping.wait(CHECK_S):
            now = clock.monotonic_s()
            with self._lock:
                items = list(self._open.values())
            for item in items:
                self._check(item, now)

    def _check(self, item, now):
        if now >= item.deadline_s:
            self._resolve(item, self._expired(item))
        elif item.retry_at_s is not None:
            if now >= item.retry_at_s:
                self._dispatch(item)
        elif isinstance(item.payload, RESENDABLE) and not item.answered:
            leader = self._hosts[item.group].status().leader
            if leader not in ("", item.target):
                # The old leader may be cut off or frozen and need not answer in time.
                item.uncertain = True
                self._dispatch(item)

    def _expired(self, item):
        if item.retry_at_s is not None:
            return unavailable.Unavailable(item.reason, retry=not item.uncertain)
        return unavailable.Unavailable(f"no result from {item.target} in time")
