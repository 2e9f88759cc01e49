"""
oriolelock.control.call_router
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Routes calls to the leader of a group, on this replica or another, with retries until a
    deadline.
"""

import collections.abc
import concurrent.futures
import dataclasses
import itertools
import threading

from oriolelock import clock, logs
from oriolelock.control import commands, messages, shared_reads, unavailable
from oriolelock.once import messages as once_messages

__all__ = ["RESENDABLE", "CallRouter"]

# Two heartbeat intervals, so that a newly elected leader is found soon.
RETRY_DELAY_S = 0.1
CHECK_INTERVAL_S = shared_reads.INTERVAL_S
# Payloads that are safe to send to a new leader even if the old one may have accepted them: reads,
# and commands with an id by which the state machine drops duplicates. Other commands, such as
# crash reports, would be counted twice.
RESENDABLE = (
    commands.OperatorChange,
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
    target_term: int = 0
    retry_at_s: float | None = None
    reason: str = "no leader is known"
    # A leader may have accepted the payload although no result came back.
    maybe_accepted: bool = False
    read_confirmed: bool = False

    def retry(self, reason: str) -> None:
        """Schedule another attempt after ``RETRY_DELAY_S``."""
        self.reason = reason
        self.retry_at_s = clock.monotonic_s() + RETRY_DELAY_S


class CallRouter:
    """Passes calls to the local group or over a peer link. No thread blocks for a single call."""

    def __init__(self, name: str, hosts: dict, send: collections.abc.Callable):
        self._name = name
        self._hosts = hosts
        self._send = send
        self._lock = threading.Lock()
        self._pending: dict[str, _Call] = {}
        # The start time keeps ids distinct from those of an earlier process of this replica.
        self._id_prefix = f"{name}-{clock.wall_s():.6f}-"
        self._ids = itertools.count(1)
        self._reads = shared_reads.SharedReads(
            lambda group, timeout_s: self._start(group, messages.ConfirmRead(), timeout_s)
        )
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="calls", daemon=True)

    def start(self) -> None:
        """Start the thread that retries calls and times them out."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopping.set()

    def call(self, group: str, payload: object, timeout_s: float) -> concurrent.futures.Future:
        """Return a future of the result of ``payload``.

        The result is ``Unavailable`` when there is none after ``timeout_s``. Reads that come
        together share one.
        """
        if group not in self._hosts:
            fut = concurrent.futures.Future()
            fut.set_result(unavailable.Unavailable(f"there is no group {group!r}"))
            return fut
        if isinstance(payload, messages.ConfirmRead):
            return self._reads.join(group, timeout_s, clock.monotonic_s())
        return self._start(group, payload, timeout_s)

    def _start(self, group, payload, timeout_s):
        fut = concurrent.futures.Future()
        call_id = self._id_prefix + str(next(self._ids))
        call = _Call(call_id, group, payload, clock.monotonic_s() + timeout_s, fut)
        with self._lock:
            self._pending[call_id] = call
        self._dispatch(call)
        return fut

    def serve(self, group: str, payload: object) -> concurrent.futures.Future:
        """Pass ``payload`` to the local group and return a future of the result.

        The result is ``Unavailable`` unless this replica leads ``group``.
        """
        host = self._hosts[group]
        if isinstance(payload, messages.ConfirmRead):
            return host.confirm_read()
        return host.propose(payload)

    def handle_reply(self, reply: messages.ForwardReply) -> None:
        """Handle the reply of another replica to a forwarded call."""
        with self._lock:
            call = self._pending.get(reply.call_id)
        if call:
            self._handle_result(call, reply.result)

    def _dispatch(self, call):
        try:
            self._send_to_leader(call)
        except Exception:
            # Others wait for this call, and for the thread that retries.
            log.exception("a call to the leader failed")
            call.maybe_accepted = True
            if isinstance(call.payload, RESENDABLE):
                call.retry("an unexpected failure")

    def _send_to_leader(self, call):
        status = self._hosts[call.group].status()
        leader = status.leader
        call.target, call.target_term = leader, status.term
        if not leader:
            call.retry("no leader is known")
            return
        call.retry_at_s = None
        if leader == self._name:
            fut = self.serve(call.group, call.payload)
            fut.add_done_callback(lambda done: self._handle_result(call, done.result()))
        elif not self._send(leader, messages.Forward(call.call_id, call.group, call.payload)):
            call.retry(f"no connection to the leader {leader}")

    def _handle_result(self, call, result):
        if isinstance(result, unavailable.Unavailable):
            call.maybe_accepted = call.maybe_accepted or not result.retry
            if result.retry or isinstance(call.payload, RESENDABLE):
                call.retry(result.reason)
                return
        if isinstance(result, messages.Confirmed):
            call.read_confirmed = True
            applied = self._hosts[call.group].wait_applied(result.index, result)
            applied.add_done_callback(lambda done: self._resolve(call, done.result()))
            return
        self._resolve(call, result)

    def _resolve(self, call, result):
        with self._lock:
            if self._pending.pop(call.call_id, None) is None:
                return
        call.fut.set_result(result)

    def _run(self):
        while not self._stopping.wait(CHECK_INTERVAL_S):
            now = clock.monotonic_s()
            self._reads.flush(now)
            with self._lock:
                pending = list(self._pending.values())
            for call in pending:
                self._retry_or_expire(call, now)

    def _retry_or_expire(self, call, now):
        if now >= call.deadline_s:
            self._resolve(call, self._timeout_result(call))
        elif call.retry_at_s is not None:
            if now >= call.retry_at_s:
                self._dispatch(call)
        elif isinstance(call.payload, RESENDABLE) and not call.read_confirmed:
            status = self._hosts[call.group].status()
            sent_to = (call.target, call.target_term)
            if status.leader and (status.leader, status.term) != sent_to:
                # The old leader may be partitioned or paused, so its answer may never come. One
                # that is elected again may have lost the call with a connection.
                call.maybe_accepted = True
                self._dispatch(call)

    def _timeout_result(self, call):
        if call.retry_at_s is not None:
            return unavailable.Unavailable(call.reason, retry=not call.maybe_accepted)
        return unavailable.Unavailable(f"no result from {call.target} in time")
