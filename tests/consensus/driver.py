"""
tests.consensus.driver
~~~~~~~~~~~~~~~~~~~~~~

    A simulated cluster with virtual time, network and disks that asserts the Raft guarantees.
"""

import dataclasses
import hashlib
import random

from oriolelock.consensus import events, messages, node, outputs
from tests.consensus import majorities, simulated

STEP_S = 0.1
LINK_HEARTBEAT_S = 1.0
# As in ``oriolelock.control.joiner`` and ``replica``.
JOIN_INTERVAL_S = 0.3
MAX_JOIN_HOPS = 2


class Cluster:
    """Replicas and the messages in transit; asserts safety after each step of a node."""

    def __init__(self, size, seed=0, settings=simulated.DEFAULTS):
        self.rng = random.Random(seed)
        self.settings = settings
        self.now = 0.0
        names = [f"n{number}" for number in range(size)]
        self.membership = messages.Membership(
            tuple(messages.Replica(name, "initial", True) for name in names)
        )
        self.replicas = {
            name: simulated.Replica(name, "initial", self.membership, self.rng, settings)
            for name in names
        }
        for replica in self.replicas.values():
            replica.start(0.0)
        self.network = []
        # Replicas that reach nobody, and the side of each one during a split.
        self.partitioned, self.sides = set(), {}
        self.next_link_heartbeat_s = 0.0
        self.starting, self.incarnations = [], 0
        # When replicas were added, by incarnation; whether leaders know when links were alive.
        self.started_s, self.knows_links = {}, True
        # Replicas of a build that does not know joint memberships.
        self.old_builds = set()
        self.record = majorities.Record()
        self.leaders, self.committed, self.states = {}, {}, {}
        self.reads, self.results = {}, []
        self.requests = 0

    def step(self, name, event):
        replica = self.replicas[name]
        was_leader = node.is_leader(replica.node)
        step_outputs = node.step(replica.node, event, self.now - replica.slept_s)
        for output in step_outputs:
            self._execute(replica, output)
        if node.is_leader(replica.node) and not was_leader:
            self.record.check_leader(replica)
        self.record.check_memberships(replica)
        return step_outputs

    def _execute(self, replica, output):
        if isinstance(output, outputs.Save):
            replica.pending_saves.append(output)
        elif isinstance(output, outputs.Send):
            self.record.sent(replica, output.target, output.msg)
            self.network.append((replica.name, replica.incarnation, output.target, output.msg))
        elif isinstance(output, outputs.Commit):
            if node.is_leader(replica.node):
                self.record.check_commit(replica, output.entries[-1])
            for entry in output.entries:
                self._apply(replica, entry)
        elif isinstance(output, outputs.RestoreSnapshot):
            replica.store_snapshot(output.index, output.term, output.membership, output.data)
            self.record.stored_snapshot(replica, output.index)
            replica.applied, replica.state = output.index, output.data
            assert self.states[output.index] == output.data, "snapshot differs from applied state"
        elif isinstance(output, outputs.LeaderChanged) and output.is_self:
            first = self.leaders.setdefault(output.term, replica.name)
            assert first == replica.name, f"two leaders in term {output.term}"
        elif isinstance(output, outputs.ReadReady):
            assert output.index >= self.reads[output.request_id], "stale read"
        if isinstance(output, outputs.ReadReady | outputs.Rejected | outputs.Proposed):
            self.results.append(output)

    def _apply(self, replica, entry):
        assert entry.index == replica.applied + 1
        assert self.committed.setdefault(entry.index, entry) == entry, "committed entry changed"
        replica.applied = entry.index
        replica.state = hashlib.sha256(replica.state + repr(entry).encode()).digest()
        assert self.states.setdefault(entry.index, replica.state) == replica.state

    def check_log_matching(self):
        logs = [replica.node.log for replica in self.replicas.values()]
        for left in logs:
            for right in logs:
                first = max(left.base_index, right.base_index) + 1
                last = min(left.last_index, right.last_index)
                matching_indexes = [
                    index
                    for index in range(first, last + 1)
                    if left.term_at(index) == right.term_at(index)
                ]
                if matching_indexes:
                    assert left.between(first, matching_indexes[-1]) == right.between(
                        first, matching_indexes[-1]
                    )

    def connected(self, left, right):
        cut = left in self.partitioned or right in self.partitioned
        return not cut and self.sides.get(left) == self.sides.get(right)

    def deliver(self, message):
        sender, incarnation, target, msg = message
        replica = self.replicas.get(target)
        if not replica or not replica.running or not self.connected(sender, target):
            return
        replica.heard_s[sender] = self.now - replica.slept_s
        if isinstance(msg, simulated.Join):
            self._handle_join(replica, msg)
        else:
            self.step(target, events.Received(sender, incarnation, msg))

    def _handle_join(self, replica, msg):
        leader = node.leader(replica.node)
        if leader == replica.name:
            learner = messages.Replica(msg.name, msg.incarnation, False)
            self.step(leader, events.AddLearner(learner))
        elif leader and msg.hops < MAX_JOIN_HOPS:
            forwarded = dataclasses.replace(msg, hops=msg.hops + 1)
            self.network.append((replica.name, replica.incarnation, leader, forwarded))

    def _request_admission(self):
        """Let replicas that know no leader or don't vote ask all others, as the joiner does."""
        for replica in self.replicas.values():
            if replica.running and self.now >= replica.next_join_s:
                replica.next_join_s = self.now + JOIN_INTERVAL_S
                if not (node.leader(replica.node) and replica.is_voter()):
                    msg = simulated.Join(replica.name, replica.incarnation)
                    for name in self.replicas:
                        self.network.append((replica.name, replica.incarnation, name, msg))

    def _send_link_heartbeats(self):
        if self.now < self.next_link_heartbeat_s:
            return
        self.next_link_heartbeat_s = self.now + LINK_HEARTBEAT_S
        running = [replica for replica in self.replicas.values() if replica.running]
        for replica in running:
            for other in running:
                if other is not replica and self.connected(replica.name, other.name):
                    replica.heard_s[other.name] = self.now - replica.slept_s

    def sync_next_save(self, name):
        replica = self.replicas[name]
        save = replica.pending_saves[0]
        saved = replica.sync()
        self.record.stored(replica, save.entries)
        self.step(name, saved)

    def run(self, steps=1, loss=0.0, duplication=0.0, delay=0.0, sync=1.0):
        """Advance time; messages are randomly lost, duplicated or delayed (and so reordered)."""
        for _ in range(steps):
            self.now += STEP_S
            self._start_due()
            self._send_link_heartbeats()
            for name, replica in self.replicas.items():
                if replica.running:
                    self.step(name, events.Tick())
            # Several rounds per step, so that an exchange is shorter than a heartbeat interval.
            for _ in range(4):
                self._deliver_round(loss, duplication, delay, sync)

    def _deliver_round(self, loss, duplication, delay, sync):
        in_transit, self.network = self.network, []
        self.rng.shuffle(in_transit) if delay else None
        for message in in_transit:
            target = self.replicas.get(message[2])
            if target is None:
                continue
            if self.rng.random() < delay or target.suspended:
                self.network.append(message)
                continue
            if self.rng.random() < duplication:
                self.network.append(message)
            if self.rng.random() >= loss:
                self.deliver(message)
        for name, replica in self.replicas.items():
            while replica.pending_saves and replica.running and self.rng.random() < sync:
                self.sync_next_save(name)

    def crash(self, name):
        """Restart a process; some of its pending saves may have reached the disk."""
        replica = self.replicas[name]
        for _ in range(self.rng.randint(0, len(replica.pending_saves))):
            self.record.stored(replica, replica.pending_saves[0].entries)
            replica.sync()
        replica.suspended = replica.down = False
        replica.start(self.now)

    def lose_disk(self, name):
        """Restart a process with an empty data folder and a new incarnation."""
        self.remove(name)
        self.add(name)

    def remove(self, name):
        """Remove a replica for good; what it has sent may still arrive."""
        del self.replicas[name]

    def add(self, name):
        """Start a replica with an empty disk, which asks to be admitted."""
        self.incarnations += 1
        incarnation = f"disk-{self.incarnations}"
        replica = simulated.Replica(name, incarnation, simulated.EMPTY, self.rng, self.settings)
        self.replicas[name] = replica
        self.started_s[incarnation] = self.now
        replica.start(self.now)

    def replace(self, old, new, pause_s):
        """Remove a replica for good; an empty one starts under a new name after a pause."""
        self.remove(old)
        self.starting.append((self.now + pause_s, new))

    def _start_due(self):
        due = [name for start_s, name in self.starting if self.now >= start_s]
        self.starting = [item for item in self.starting if item[1] not in due]
        for name in due:
            self.add(name)

    def snapshot(self, name):
        replica = self.replicas[name]
        if replica.applied > replica.disk.snapshot_index:
            term, membership = node.snapshot_metadata(replica.node, replica.applied)
            replica.store_snapshot(replica.applied, term, membership, replica.state)
            self.step(name, events.SnapshotTaken(replica.applied, replica.state))

    def admit(self):
        """Request admission and changes of membership, as the control daemon does."""
        self._request_admission()
        for name, replica in list(self.replicas.items()):
            if replica.running and node.is_leader(replica.node):
                for event in self._membership_changes(replica):
                    self.step(name, event)

    def _membership_changes(self, replica):
        """Return what ``oriolelock.control.host._membership_events`` returns on a leader."""
        now, min_voters = self.now - replica.slept_s, self.settings.min_voters
        heard_s = replica.heard_s if self.knows_links else {}
        knows_joint = {}
        if replica.name not in self.old_builds:
            knows_joint = {name: name not in self.old_builds for name in replica.heard_s}
        plan = node.membership_plan(replica.node, min_voters, now, heard_s, knows_joint)
        return [change.event for change in plan.changes]

    def propose(self, name):
        self.requests += 1
        self.step(name, events.Propose(f"p{self.requests}", b"command %d" % self.requests))

    def read(self, name):
        self.requests += 1
        request_id = f"r{self.requests}"
        self.reads[request_id] = max(self.committed, default=0)
        self.step(name, events.ReadRequest(request_id))
        return request_id

    def leader(self):
        """Return the name of the running, connected leader of the latest term, or None."""
        leaders = [
            replica
            for replica in self.replicas.values()
            if replica.running
            and replica.name not in self.partitioned
            and node.is_leader(replica.node)
        ]
        return max(leaders, key=lambda replica: replica.node.term).name if leaders else None

    def run_until(self, condition, limit=300):
        for _ in range(limit):
            if condition():
                return
            self.run()
            self.admit()
        raise AssertionError("condition not met in time")

    def elect(self):
        self.run_until(lambda: self.leader() is not None)
        return self.leader()
