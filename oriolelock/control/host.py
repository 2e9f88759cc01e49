"""
oriolelock.control.host
~~~~~~~~~~~~~~~~~~~~~~~

    Runs one group: a thread that owns the node, its store and its state machine.
"""

import collections
import concurrent.futures
import itertools
import random
import threading

from oriolelock import clock, logs
from oriolelock.consensus import events, messages, node, outputs
from oriolelock.control import (
    envelope,
    event_queue,
    host_settings,
    host_status,
    requests,
    saves,
    snapshot_policy,
    unavailable,
)
from oriolelock.storage import errors as storage_errors
from oriolelock.wire import codec

__all__ = ["Host"]

TICK_S = 0.05
# How often a save that found the disk full is tried again.
DISK_RETRY_S = 1.0
STOP_TIMEOUT_S = 5.0

log = logs.get_logger("control.host")


class Host:
    """One group on this replica. Public methods may be called from any thread."""

    def __init__(self, cfg: host_settings.HostSettings, store, machine):
        self._cfg = cfg
        self._store = store
        self._machine = machine
        self._events = event_queue.EventQueue()
        self._requests = requests.Requests()
        self._unsaved: list[outputs.Save] = []
        self._retry_save_s = 0.0
        self._disk_full = False
        self._ids = itertools.count(1)
        self._stopping = threading.Event()
        self._leader = outputs.LeaderChanged("", 0, False)
        stored = store.load()
        self._membership = stored.membership
        self._applied = stored.snapshot_index
        self._applied_term = stored.snapshot_term
        self._policy = snapshot_policy.SnapshotPolicy(
            cfg.snapshot_every, stored.snapshot_index, len(stored.snapshot)
        )
        if stored.snapshot:
            machine.restore(stored.snapshot)
        rng = random.Random(f"{cfg.node.name}/{cfg.group}/{cfg.node.incarnation}")
        self._node = node.make(cfg.node, stored, clock.monotonic_s(), rng)
        self._thread = threading.Thread(target=self._run, name=f"group-{cfg.group}", daemon=True)

    def start(self) -> None:
        """Start the thread of the group."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread; what was synced stays."""
        self._stopping.set()
        self._thread.join(timeout=STOP_TIMEOUT_S)

    @property
    def machine(self):
        """The state machine."""
        return self._machine

    def status(self) -> host_status.HostStatus:
        """Return the state of the group as this replica sees it."""
        leader = self._leader
        own = [r for r in self._membership.replicas if r.incarnation == self._cfg.node.incarnation]
        return host_status.HostStatus(
            leader=leader.leader,
            term=leader.term,
            is_leader=leader.is_self,
            applied=self._applied,
            voter=any(r.voter for r in own if r.name == self._cfg.node.name),
            replicas=len(self._membership.replicas),
            disk_full=self._disk_full,
        )

    def receive(self, sender: str, incarnation: str, msg: object) -> None:
        """Queue a message of another replica; it is dropped when the queue is full."""
        self._events.put(events.Received(sender, incarnation, msg))

    def admit(self, name: str, incarnation: str) -> None:
        """Admit a replica as a learner, if this one leads."""
        self._events.put(events.AddLearner(messages.Replica(name, incarnation, False)))

    def member_names(self) -> tuple[str, ...]:
        """Return the names of the replicas of the group, as far as committed here."""
        return tuple(item.name for item in self._membership.replicas)

    def transfer(self) -> None:
        """Hand leadership to another replica."""
        self._events.put(events.Transfer())

    def propose(self, payload: object) -> concurrent.futures.Future:
        """Return a future of the command's result, or of ``Unavailable``."""
        if self._disk_full:
            return _done(unavailable.Unavailable("the disk is full", retry=True))
        stamp_s = max(clock.wall_s(), self._machine.wall_s)
        data = codec.encode(envelope.Command(stamp_s, payload))
        return self._ask(lambda request_id: events.Propose(request_id, data))

    def confirm_read(self) -> concurrent.futures.Future:
        """Return a future of ``Confirmed``, or of ``Unavailable``."""
        return self._ask(events.ReadRequest)

    def wait_applied(self, index: int, result: object) -> concurrent.futures.Future:
        """Return a future of ``result`` that is done when ``index`` is applied."""
        fut = concurrent.futures.Future()
        if self._applied >= index:
            fut.set_result(result)
        else:
            self._events.put((index, fut, result))
        return fut

    def _ask(self, make_event):
        request_id = str(next(self._ids))
        fut = self._requests.add(request_id)
        if not self._events.put(make_event(request_id)):
            self._requests.drop(request_id)
            return _done(unavailable.Unavailable("too many requests", retry=True))
        return fut

    def _run(self):
        try:
            next_tick_s = clock.monotonic_s()
            while not self._stopping.is_set():
                batch = self._events.take(next_tick_s)
                now = clock.monotonic_s()
                if now >= next_tick_s:
                    batch.append(events.Tick())
                    batch.extend(self._admissions(now))
                    next_tick_s = now + TICK_S
                self._step_all(batch, now)
        except storage_errors.SyncFailed as exc:
            # Pages of a failed fsync may be lost although a later one succeeds.
            self._cfg.fail(f"group {self._cfg.group}: sync failed: {exc}")
        except Exception as exc:
            log.exception("Group {} can't go on.", self._cfg.group)
            self._cfg.fail(f"group {self._cfg.group}: {exc!r}")

    def _admissions(self, now):
        """Admit replicas with a new data folder; the node takes one change at a time."""
        if not self._leader.is_self:
            return []
        found = node.non_members(self._node).items()
        learners = [messages.Replica(name, incarnation, False) for name, incarnation in found]
        ready = node.caught_up_learners(self._node, now)
        gone = []
        if self._cfg.min_voters is not None:
            gone = node.removable(self._node, self._cfg.min_voters, now)
        return [
            *map(events.AddLearner, learners),
            *map(events.Promote, ready),
            *map(events.Remove, gone),
        ]

    def _step_all(self, batch, now):
        todo = collections.deque()
        for event in batch:
            if isinstance(event, tuple):
                self._requests.wait(*event)
            else:
                todo.extend(node.step(self._node, event, now))
        self._carry_out(todo, now)
        self._requests.finish_waiting(self._applied)
        if self._policy.is_due(self._applied):
            self._carry_out(collections.deque(self._snapshot_or_hand_over(now)), now)

    def _carry_out(self, todo, now):
        while todo or self._can_save(now):
            if not todo:
                todo.extend(self._save(now))
                continue
            output = todo.popleft()
            if isinstance(output, outputs.Save):
                self._unsaved.append(output)
                continue
            if isinstance(output, outputs.RestoreSnapshot) and self._can_save(now):
                # What follows from the earlier saves belongs before the snapshot.
                todo.appendleft(output)
                todo.extendleft(reversed(self._save(now)))
                continue
            _HANDLERS[type(output)](self, output)

    def _can_save(self, now):
        return bool(self._unsaved) and not (self._disk_full and now < self._retry_save_s)

    def _save(self, now):
        """Store all collected saves with one sync and return the outputs that follow."""
        try:
            self._store.save(saves.merge(self._unsaved))
        except storage_errors.DiskFull as exc:
            self._note_disk_full(exc, now)
            return []
        if self._disk_full:
            self._disk_full = False
            log.notice("Group {}: the disk has room again.", self._cfg.group)
        done, self._unsaved = self._unsaved, []
        result = []
        for item in done:
            result.extend(node.step(self._node, events.Saved(item.number), now))
        return result

    def _note_disk_full(self, exc, now):
        if not self._disk_full:
            log.error("Group {}: disk full, changes are refused: {}.", self._cfg.group, exc)
            # A leader that can't store would refuse changes that other replicas can take.
            self._events.put(events.Transfer())
        self._disk_full = True
        self._retry_save_s = now + DISK_RETRY_S

    def _send(self, output):
        self._cfg.send(output.target, output.msg)

    def _commit(self, output):
        for entry in output.entries:
            self._apply(entry)
        self._cfg.changed(self._cfg.group)

    def _apply(self, entry):
        result = None
        if entry.kind == "command":
            result = self._machine.apply(entry.index, codec.decode(entry.data))
        elif entry.kind == "membership":
            self._membership = codec.decode(entry.data)
            names = [r.name + ("" if r.voter else " (learner)") for r in self._membership.replicas]
            log.info("Group {}: members are {}.", self._cfg.group, ", ".join(names))
        self._applied, self._applied_term = entry.index, entry.term
        self._requests.applied(entry, result)

    def _restore(self, output):
        self._store_received(output)
        self._machine.restore(output.data)
        self._membership = output.membership
        self._applied, self._applied_term = output.index, output.term
        self._policy.taken(output.index, len(output.data), 0.0)
        log.info("Group {}: restored a snapshot at {}.", self._cfg.group, output.index)
        self._requests.restored(output.index)
        self._cfg.changed(self._cfg.group)

    def _store_received(self, output):
        """Store a received snapshot; a full disk holds the group up, but not its readers."""
        while True:
            try:
                self._store.save_snapshot(output.index, output.term, output.membership, output.data)
                return
            except storage_errors.DiskFull as exc:
                log.error("Group {}: disk full, snapshot waits: {}.", self._cfg.group, exc)
                if self._stopping.wait(DISK_RETRY_S):
                    raise

    def _leader_changed(self, output):
        self._leader = output
        who = output.leader or "nobody"
        log.info("Group {}: {} leads in term {}.", self._cfg.group, who, output.term)
        self._cfg.changed(self._cfg.group)

    def _snapshot_or_hand_over(self, now):
        if self._leader.is_self and self._policy.leader_waits(now):
            return node.step(self._node, events.Transfer(), now)
        started_s = clock.monotonic_s()
        data = self._machine.encode()
        try:
            self._store.save_snapshot(self._applied, self._applied_term, self._membership, data)
        except storage_errors.DiskFull as exc:
            # The log keeps what a snapshot would replace.
            log.error("Group {}: disk full, no snapshot: {}.", self._cfg.group, exc)
            self._policy.postpone(self._applied)
            return []
        self._policy.taken(self._applied, len(data), clock.monotonic_s() - started_s)
        return node.step(self._node, events.SnapshotTaken(self._applied, data), now)


_HANDLERS = {
    outputs.Send: Host._send,
    outputs.Commit: Host._commit,
    outputs.RestoreSnapshot: Host._restore,
    outputs.Proposed: lambda self, out: self._requests.proposed(out),
    outputs.Rejected: lambda self, out: self._requests.rejected(out),
    outputs.ReadReady: lambda self, out: self._requests.read_ready(out),
    outputs.LeaderChanged: Host._leader_changed,
}


def _done(result):
    fut = concurrent.futures.Future()
    fut.set_result(result)
    return fut
