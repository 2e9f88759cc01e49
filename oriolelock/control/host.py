"""
oriolelock.control.host
~~~~~~~~~~~~~~~~~~~~~~~

    Runs the replica of one consensus group: a thread that owns the consensus node, its store and
    its state machine.
"""

import collections
import concurrent.futures
import itertools
import random
import threading

from oriolelock import clock, logs
from oriolelock.consensus import events, messages, node, outputs, quorum
from oriolelock.control import (
    applier,
    commands,
    event_queue,
    host_settings,
    host_status,
    membership_log,
    pending_requests,
    saves,
    snapshot_policy,
    unavailable,
)
from oriolelock.storage import errors as storage_errors
from oriolelock.wire import codec

__all__ = ["Host"]

TICK_S = 0.05
# Committed entries are applied for this long at once, a small part of an election timeout.
APPLY_SLICE_S = 0.05
# Interval between attempts to save while the disk is full.
DISK_FULL_RETRY_S = 1.0
STOP_TIMEOUT_S = 5.0

log = logs.get_logger("control.host")


class Host:
    """This replica's part of one group. Public methods are thread-safe."""

    def __init__(self, cfg: host_settings.HostSettings, store, state_machine):
        self._cfg = cfg
        self._store = store
        self._state_machine = state_machine
        self._event_queue = event_queue.EventQueue()
        self._pending_requests = pending_requests.PendingRequests()
        self._membership_log = membership_log.MembershipLog(cfg.group)
        self._unsaved: list[outputs.Save] = []
        self._retry_save_s = 0.0
        self._disk_full = False
        self._request_ids = itertools.count(1)
        self._stopping = threading.Event()
        self._leader = outputs.LeaderChanged("", 0, False)
        stored = store.load()
        self._snapshot_policy = snapshot_policy.SnapshotPolicy(
            cfg.snapshot_every, stored.snapshot_index, len(stored.snapshot)
        )
        self._applier = applier.Applier(
            cfg.group, state_machine, stored, self._snapshot_policy, self._pending_requests.applied
        )
        rng = random.Random(f"{cfg.node.name}/{cfg.group}/{cfg.node.incarnation}")
        self._node = node.make(cfg.node, stored, clock.monotonic_s(), rng)
        self._thread = threading.Thread(target=self._run, name=f"group-{cfg.group}", daemon=True)

    def start(self) -> None:
        """Start the thread of the group."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; synced data stays on disk."""
        self._stopping.set()
        self._thread.join(timeout=STOP_TIMEOUT_S)

    @property
    def state_machine(self):
        """The state machine."""
        return self._state_machine

    def status(self) -> host_status.HostStatus:
        """Return the state of the group as this replica sees it."""
        leader, membership = self._leader, self._applier.membership
        own_records = [
            r for r in membership.replicas if r.incarnation == self._cfg.node.incarnation
        ]
        return host_status.HostStatus(
            leader=leader.leader,
            term=leader.term,
            is_leader=leader.is_self,
            applied=self._applier.applied,
            voter=any(r.voter for r in own_records if r.name == self._cfg.node.name),
            replicas=len(membership.replicas),
            disk_full=self._disk_full,
            is_caught_up=self._applier.applied_term == leader.term,
        )

    def receive(self, sender: str, incarnation: str, msg: object) -> None:
        """Queue a message from another replica; it is dropped if the queue is full."""
        self._event_queue.put(events.Received(sender, incarnation, msg))

    def admit(self, name: str, incarnation: str) -> None:
        """Add a replica as a learner, if this replica leads the group."""
        self._event_queue.put(events.AddLearner(messages.Replica(name, incarnation, False)))

    def member_names(self) -> tuple[str, ...]:
        """Return the names of the replicas in the latest membership committed here."""
        return tuple(member.name for member in self._applier.membership.replicas)

    def membership(self) -> messages.Membership:
        """Return the latest membership in the log: it is in effect even if uncommitted."""
        return self._node.membership

    def transfer(self) -> None:
        """Transfer leadership to another replica."""
        self._event_queue.put(events.Transfer())

    def propose(self, payload: object) -> concurrent.futures.Future:
        """Propose a command and return a future of its result, or of ``Unavailable``."""
        if self._disk_full:
            return _completed(unavailable.Unavailable("the disk is full", retry=True))
        stamp_s = max(clock.wall_s(), self._state_machine.wall_s)
        data = codec.encode(commands.Command(stamp_s, payload))
        return self._request(lambda request_id: events.Propose(request_id, data))

    def confirm_read(self) -> concurrent.futures.Future:
        """Start a linearizable read and return a future of ``Confirmed`` or ``Unavailable``."""
        return self._request(events.ReadRequest)

    def wait_applied(self, index: int, result: object) -> concurrent.futures.Future:
        """Return a future that completes with ``result`` when ``index`` is applied."""
        fut = concurrent.futures.Future()
        if self._applier.applied >= index:
            fut.set_result(result)
        else:
            self._event_queue.put((index, fut, result))
        return fut

    def _request(self, make_event):
        request_id = str(next(self._request_ids))
        fut = self._pending_requests.add(request_id)
        if not self._event_queue.put(make_event(request_id)):
            self._pending_requests.drop(request_id)
            return _completed(unavailable.Unavailable("too many requests", retry=True))
        return fut

    def _run(self):
        try:
            next_tick_s = clock.monotonic_s()
            while not self._stopping.is_set():
                now = clock.monotonic_s()
                batch = self._event_queue.take(now if self._applier.is_behind else next_tick_s)
                now = clock.monotonic_s()
                if now >= next_tick_s:
                    batch.append(events.Tick())
                    batch.extend(self._membership_events(now))
                    next_tick_s = now + TICK_S
                self._process_batch(batch, now)
        except storage_errors.SyncFailed as exc:
            # A failed fsync may lose dirty pages although a later fsync succeeds.
            self._cfg.fail(f"group {self._cfg.group}: sync failed: {exc}")
        except Exception as exc:
            log.exception("Group {} failed.", self._cfg.group)
            self._cfg.fail(f"group {self._cfg.group}: {exc!r}")

    def _membership_events(self, now):
        """Return the membership changes to request; the node makes one at a time."""
        if not self._leader.is_self:
            return []
        cfg = self._cfg
        plan = node.membership_plan(
            self._node, cfg.min_voters, now, cfg.last_heard(), cfg.knows_joint()
        )
        self._membership_log.record(plan)
        probe = events.Probe(tuple(self._cfg.candidates()))
        return [probe, *(change.event for change in plan.changes)]

    def _process_batch(self, batch, now):
        pending = collections.deque()
        for event in batch:
            if isinstance(event, tuple):
                self._pending_requests.wait(*event)
            else:
                pending.extend(node.step(self._node, event, now))
        self._handle_outputs(pending, now)
        if self._applier.apply_for(APPLY_SLICE_S):
            self._cfg.changed(self._cfg.group)
        self._pending_requests.finish_waiting(self._applier.applied)
        if self._snapshot_policy.is_due(self._applier.applied):
            self._handle_outputs(collections.deque(self._take_snapshot_or_transfer(now)), now)

    def _handle_outputs(self, pending, now):
        while pending or self._should_save(now):
            if not pending:
                pending.extend(self._save(now))
                continue
            output = pending.popleft()
            if isinstance(output, outputs.Save):
                self._unsaved.append(output)
                continue
            if isinstance(output, outputs.RestoreSnapshot) and self._should_save(now):
                # Outputs that follow from earlier saves must be handled before the snapshot.
                pending.appendleft(output)
                pending.extendleft(reversed(self._save(now)))
                continue
            _HANDLERS[type(output)](self, output)

    def _should_save(self, now):
        return bool(self._unsaved) and not (self._disk_full and now < self._retry_save_s)

    def _save(self, now):
        """Write all pending saves with one sync and return the node's further outputs."""
        try:
            self._store.save(saves.merge(self._unsaved))
        except storage_errors.DiskFull as exc:
            self._set_disk_full(exc, now)
            return []
        if self._disk_full:
            self._disk_full = False
            log.notice("Group {}: disk space is available again.", self._cfg.group)
        saved, self._unsaved = self._unsaved, []
        further = []
        for save in saved:
            further.extend(node.step(self._node, events.Saved(save.number), now))
        return further

    def _set_disk_full(self, exc, now):
        if not self._disk_full:
            log.error("Group {}: disk full, rejecting changes: {}.", self._cfg.group, exc)
            # This leader would reject changes that another leader could accept.
            self._event_queue.put(events.Transfer())
        self._disk_full = True
        self._retry_save_s = now + DISK_FULL_RETRY_S

    def _send(self, output):
        self._cfg.send(output.target, output.msg)

    def _restore(self, output):
        self._store_received(output)
        self._applier.restore(output)
        self._pending_requests.restored(output.index)
        self._cfg.changed(self._cfg.group)

    def _store_received(self, output):
        """Store a received snapshot.

        While the disk is full this blocks the group's thread, but not readers of its state.
        """
        while True:
            try:
                self._store.save_snapshot(output.index, output.term, output.membership, output.data)
                return
            except storage_errors.DiskFull as exc:
                log.error(
                    "Group {}: disk full, cannot store the received snapshot yet: {}.",
                    self._cfg.group,
                    exc,
                )
                if self._stopping.wait(DISK_FULL_RETRY_S):
                    raise

    def _set_leader(self, output):
        self._leader = output
        leader = output.leader or "nobody"
        log.info("Group {}: the leader is {} in term {}.", self._cfg.group, leader, output.term)
        self._cfg.changed(self._cfg.group)

    def _take_snapshot_or_transfer(self, now):
        # A single voter has nobody to wait for, and the log would grow meanwhile.
        has_other_voters = len(quorum.voters(self._node.membership)) > 1
        if self._leader.is_self and has_other_voters and self._snapshot_policy.should_transfer(now):
            return node.step(self._node, events.Transfer(), now)
        return self._take_snapshot(now)

    def _take_snapshot(self, now):
        started_s = clock.monotonic_s()
        data, index = self._state_machine.encode(), self._applier.applied
        term, membership = self._applier.applied_term, self._applier.membership
        try:
            self._store.save_snapshot(index, term, membership, data)
        except storage_errors.DiskFull as exc:
            # Nothing is lost: the log still holds the entries that the snapshot would replace.
            log.error("Group {}: disk full, no snapshot taken: {}.", self._cfg.group, exc)
            self._snapshot_policy.postpone(index)
            return []
        self._snapshot_policy.record_snapshot(index, len(data), clock.monotonic_s() - started_s)
        return node.step(self._node, events.SnapshotTaken(index, data), now)


_HANDLERS = {
    outputs.Send: Host._send,
    outputs.Commit: lambda self, out: self._applier.add(out.entries),
    outputs.RestoreSnapshot: Host._restore,
    outputs.Proposed: lambda self, out: self._pending_requests.proposed(out),
    outputs.Rejected: lambda self, out: self._pending_requests.rejected(out),
    outputs.ReadReady: lambda self, out: self._pending_requests.read_ready(out),
    outputs.LeaderChanged: Host._set_leader,
}


def _completed(result):
    fut = concurrent.futures.Future()
    fut.set_result(result)
    return fut
