"""
tests.consensus.driver
~~~~~~~~~~~~~~~~~~~~~~

    A simulated cluster with virtual time, network and disks that asserts the Raft guarantees.
"""

import dataclasses
import hashlib
import random

from oriolelock.consensus import events, messages, node, node_settings, outputs, persistent_state

STEP_S = 0.1


class Replica:
    """A node, the contents of its disk, and the saves that are not synced yet."""

    def __init__(self, name, incarnation, membership, rng):
        self.name, self.incarnation, self.rng = name, incarnation, rng
        self.disk = persistent_state.PersistentState(0, "", 0, 0, membership, (), b"")
        self.suspended = self.preferred = False

    def start(self, now):
        cfg = node_settings.NodeSettings(self.name, self.incarnation, preferred=self.preferred)
        self.node = node.make(cfg, self.disk, now, self.rng)
        self.pending_saves = []
        self.applied, self.state = self.disk.snapshot_index, self.disk.snapshot

    def sync(self):
        save = self.pending_saves.pop(0)
        entries = [
            entry for entry in self.disk.entries if not 0 < save.truncate_from <= entry.index
        ]
        entries += [entry for entry in save.entries if entry.index > self.disk.snapshot_index]
        self.disk = dataclasses.replace(
            self.disk, term=save.term, voted_for=save.voted_for, entries=tuple(entries)
        )
        return events.Saved(save.number)

    def store_snapshot(self, index, term, membership, data):
        kept_entries = ()
        if any((entry.index, entry.term) == (index, term) for entry in self.disk.entries):
            kept_entries = tuple(entry for entry in self.disk.entries if entry.index > index)
        self.disk = dataclasses.replace(
            self.disk,
            snapshot_index=index,
            snapshot_term=term,
            membership=membership,
            entries=kept_entries,
            snapshot=data,
        )


class Cluster:
    """Replicas and the messages in transit; asserts safety after each step of a node."""

    def __init__(self, size, seed=0):
        self.rng = random.Random(seed)
        self.now = 0.0
        names = [f"n{number}" for number in range(size)]
        self.membership = messages.Membership(
            tuple(messages.Replica(name, "initial", True) for name in names)
        )
        self.replicas = {
            name: Replica(name, "initial", self.membership, self.rng) for name in names
        }
        for replica in self.replicas.values():
            replica.start(0.0)
        self.network = []
        self.partitioned = set()
        self.leaders, self.committed, self.states = {}, {}, {}
        self.reads, self.results = {}, []
        self.requests = 0

    def step(self, name, event):
        replica = self.replicas[name]
        step_outputs = node.step(replica.node, event, self.now)
        for output in step_outputs:
            self._execute(replica, output)
        return step_outputs

    def _execute(self, replica, output):
        if isinstance(output, outputs.Save):
            replica.pending_saves.append(output)
        elif isinstance(output, outputs.Send):
            self.network.append((replica.name, replica.incarnation, output.target, output.msg))
        elif isinstance(output, outputs.Commit):
            for entry in output.entries:
                self._apply(replica, entry)
        elif isinstance(output, outputs.RestoreSnapshot):
            replica.store_snapshot(output.index, output.term, output.membership, output.data)
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

    def deliver(self, message):
        sender, incarnation, target, msg = message
        replica = self.replicas.get(target)
        if (
            replica
            and not replica.suspended
            and sender not in self.partitioned
            and target not in self.partitioned
        ):
            self.step(target, events.Received(sender, incarnation, msg))

    def sync_next_save(self, name):
        self.step(name, self.replicas[name].sync())

    def run(self, steps=1, loss=0.0, duplication=0.0, delay=0.0, sync=1.0):
        """Advance time; messages are randomly lost, duplicated or delayed (and so reordered)."""
        for _ in range(steps):
            self.now += STEP_S
            for name, replica in self.replicas.items():
                if not replica.suspended:
                    self.step(name, events.Tick())
            # Several rounds per step, so that an exchange is shorter than a heartbeat interval.
            for _ in range(4):
                self._deliver_round(loss, duplication, delay, sync)

    def _deliver_round(self, loss, duplication, delay, sync):
        in_transit, self.network = self.network, []
        self.rng.shuffle(in_transit) if delay else None
        for message in in_transit:
            if self.rng.random() < delay or self.replicas[message[2]].suspended:
                self.network.append(message)
                continue
            if self.rng.random() < duplication:
                self.network.append(message)
            if self.rng.random() >= loss:
                self.deliver(message)
        for name, replica in self.replicas.items():
            while replica.pending_saves and not replica.suspended and self.rng.random() < sync:
                self.sync_next_save(name)

    def crash(self, name):
        """Restart a process; some of its pending saves may have reached the disk."""
        replica = self.replicas[name]
        for _ in range(self.rng.randint(0, len(replica.pending_saves))):
            replica.sync()
        replica.suspended = False
        replica.start(self.now)

    def lose_disk(self, name):
        """Restart a process with an empty data folder and a new incarnation."""
        incarnation = f"lost-{self.rng.getrandbits(64):x}"
        replica = Replica(name, incarnation, messages.Membership(()), self.rng)
        self.replicas[name] = replica
        replica.start(self.now)

    def snapshot(self, name):
        replica = self.replicas[name]
        if replica.applied > replica.disk.snapshot_index:
            term, membership = node.snapshot_metadata(replica.node, replica.applied)
            replica.store_snapshot(replica.applied, term, membership, replica.state)
            self.step(name, events.SnapshotTaken(replica.applied, replica.state))

    def admit(self):
        """Add and promote the replicas that leaders report, as the control daemon does."""
        for name, replica in self.replicas.items():
            if replica.suspended or not node.is_leader(replica.node):
                continue
            for other_name, incarnation in node.non_members(replica.node).items():
                learner = messages.Replica(other_name, incarnation, False)
                self.step(name, events.AddLearner(learner))
            for other_name in node.caught_up_learners(replica.node, self.now):
                self.step(name, events.Promote(other_name))

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
            if not replica.suspended
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
