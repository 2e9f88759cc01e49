"""
tests.consensus.driver
~~~~~~~~~~~~~~~~~~~~~~

    Drives nodes with simulated time, network and disks, and checks the guarantees on the way.
"""

import dataclasses
import hashlib
import random

from oriolelock.consensus import events, messages, node, node_settings, outputs, stored

STEP_S = 0.1


class Replica:
    """A node, what is on its disk, and what it has not synced."""

    def __init__(self, name, incarnation, membership, rng):
        self.name, self.incarnation, self.rng = name, incarnation, rng
        self.disk = stored.Stored(0, "", 0, 0, membership, (), b"")
        self.frozen = self.preferred = False

    def start(self, now):
        cfg = node_settings.NodeSettings(self.name, self.incarnation, preferred=self.preferred)
        self.node = node.make(cfg, self.disk, now, self.rng)
        self.unsynced = []
        self.applied, self.state = self.disk.snapshot_index, self.disk.snapshot

    def sync(self):
        save = self.unsynced.pop(0)
        entries = [item for item in self.disk.entries if not 0 < save.truncate_from <= item.index]
        entries += [item for item in save.entries if item.index > self.disk.snapshot_index]
        self.disk = dataclasses.replace(
            self.disk, term=save.term, voted_for=save.voted_for, entries=tuple(entries)
        )
        return events.Saved(save.number)

    def store_snapshot(self, index, term, membership, data):
        kept = ()
        if any((item.index, item.term) == (index, term) for item in self.disk.entries):
            kept = tuple(item for item in self.disk.entries if item.index > index)
        self.disk = dataclasses.replace(
            self.disk,
            snapshot_index=index,
            snapshot_term=term,
            membership=membership,
            entries=kept,
            snapshot=data,
        )


class Cluster:
    """Replicas and the messages between them; asserts safety after each step of a node."""

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
        for item in self.replicas.values():
            item.start(0.0)
        self.network = []
        self.cut = set()
        self.leaders, self.committed, self.states = {}, {}, {}
        self.reads, self.results = {}, []
        self.requests = 0

    def step(self, name, event):
        item = self.replicas[name]
        outs = node.step(item.node, event, self.now)
        for out in outs:
            self._carry_out(item, out)
        return outs

    def _carry_out(self, item, out):
        if isinstance(out, outputs.Save):
            item.unsynced.append(out)
        elif isinstance(out, outputs.Send):
            self.network.append((item.name, item.incarnation, out.target, out.msg))
        elif isinstance(out, outputs.Commit):
            for entry in out.entries:
                self._apply(item, entry)
        elif isinstance(out, outputs.RestoreSnapshot):
            item.store_snapshot(out.index, out.term, out.membership, out.data)
            item.applied, item.state = out.index, out.data
            assert self.states[out.index] == out.data, "a snapshot differs from the state"
        elif isinstance(out, outputs.LeaderChanged) and out.is_self:
            first = self.leaders.setdefault(out.term, item.name)
            assert first == item.name, f"two leaders in term {out.term}"
        elif isinstance(out, outputs.ReadReady):
            assert out.index >= self.reads[out.request_id], "stale read"
        if isinstance(out, outputs.ReadReady | outputs.Rejected | outputs.Proposed):
            self.results.append(out)

    def _apply(self, item, entry):
        assert entry.index == item.applied + 1
        assert self.committed.setdefault(entry.index, entry) == entry, "committed entry changed"
        item.applied = entry.index
        item.state = hashlib.sha256(item.state + repr(entry).encode()).digest()
        assert self.states.setdefault(entry.index, item.state) == item.state

    def check_log_matching(self):
        logs = [item.node.log for item in self.replicas.values()]
        for one in logs:
            for other in logs:
                first = max(one.base_index, other.base_index) + 1
                last = min(one.last_index, other.last_index)
                same = [i for i in range(first, last + 1) if one.term_at(i) == other.term_at(i)]
                if same:
                    assert one.between(first, same[-1]) == other.between(first, same[-1])

    def deliver(self, message):
        sender, incarnation, target, msg = message
        item = self.replicas.get(target)
        if item and not item.frozen and sender not in self.cut and target not in self.cut:
            self.step(target, events.Received(sender, incarnation, msg))

    def sync_one(self, name):
        self.step(name, self.replicas[name].sync())

    def run(self, steps=1, loss=0.0, duplication=0.0, delay=0.0, sync=1.0):
        """Let time pass; messages are lost, doubled, delayed (so reordered) by chance."""
        for _ in range(steps):
            self.now += STEP_S
            for name, item in self.replicas.items():
                if not item.frozen:
                    self.step(name, events.Tick())
            # Some hops per step, so that an exchange takes less time than a heartbeat.
            for _ in range(4):
                self._hop(loss, duplication, delay, sync)

    def _hop(self, loss, duplication, delay, sync):
        due, self.network = self.network, []
        self.rng.shuffle(due) if delay else None
        for message in due:
            if self.rng.random() < delay or self.replicas[message[2]].frozen:
                self.network.append(message)
                continue
            if self.rng.random() < duplication:
                self.network.append(message)
            if self.rng.random() >= loss:
                self.deliver(message)
        for name, item in self.replicas.items():
            while item.unsynced and not item.frozen and self.rng.random() < sync:
                self.sync_one(name)

    def crash(self, name):
        """Restart a process; a part of its unsynced saves may have reached the disk."""
        item = self.replicas[name]
        for _ in range(self.rng.randint(0, len(item.unsynced))):
            item.sync()
        item.frozen = False
        item.start(self.now)

    def lose_disk(self, name):
        """Restart a process with an empty folder."""
        incarnation = f"lost-{self.rng.getrandbits(64):x}"
        item = Replica(name, incarnation, messages.Membership(()), self.rng)
        self.replicas[name] = item
        item.start(self.now)

    def snapshot(self, name):
        item = self.replicas[name]
        if item.applied > item.disk.snapshot_index:
            term, membership = node.snapshot_position(item.node, item.applied)
            item.store_snapshot(item.applied, term, membership, item.state)
            self.step(name, events.SnapshotTaken(item.applied, item.state))

    def admit(self):
        """Admit and promote what the leaders report, as the control daemon does."""
        for name, item in self.replicas.items():
            if item.frozen or not node.is_leader(item.node):
                continue
            for other, incarnation in node.unadmitted(item.node).items():
                replica = messages.Replica(other, incarnation, False)
                self.step(name, events.AddLearner(replica))
            for other in node.caught_up_learners(item.node, self.now):
                self.step(name, events.Promote(other))

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
        """Return the name of the leader of the latest term among running nodes, or None."""
        leading = [
            item
            for item in self.replicas.values()
            if not item.frozen and item.name not in self.cut and node.is_leader(item.node)
        ]
        return max(leading, key=lambda item: item.node.term).name if leading else None

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
