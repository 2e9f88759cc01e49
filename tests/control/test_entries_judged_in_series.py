"""Entries are judged rightly while leaders are replaced one after another, in simulated time."""

import concurrent.futures
import dataclasses
import random
import types

import pytest

from oriolelock.control import instance_monitor
from oriolelock.control import messages as control_messages
from oriolelock.distribution import messages, report_packing, reports
from tests.dispatch import builders

# The leader is replaced by an empty replica with another name, or starts again, again and again.
INTERVAL_S = 5.0
SUCCESSOR_AFTER_S = 1.0
ROUNDS = 10
# After the last event of a round the bounds hold, until the next loss.
CONTACT_WINDOW_S = 3.0
# From the death of an entry until lookups must not name it, and what the way to entries takes.
GONE_S, WAY_S = CONTACT_WINDOW_S + 3.0, 0.3
ENTRIES = tuple(f"e{n}" for n in range(12))
STEP_S = 0.05
DELAY_S = 0.05


class Control:
    """Replicas whose leaders are lost.

    ``leads_again``: a leader that is lost starts again with its name, and leads again.
    """

    def __init__(self, rng, clock_s, leads_again=False):
        self.leads_again = leads_again
        self.rng, self.clock_s = rng, clock_s
        self.cfg = builders.configure([], entries=ENTRIES)
        self.leader = None
        self.leads_since_s = 0.0
        self.lost = []
        self.replicas = {}
        self.in_flight = []
        self.was_down = []
        for _ in range(5):
            self.add()
        self.elect()

    def add(self):
        name = f"c{len(self.replicas) + len(self.lost)}"
        if self.lost and self.leads_again:
            name = self.lost[-1]
        self.replicas[name] = Replica(self, name)

    def elect(self):
        voters = list(self.replicas)[:4]
        if self.lost and self.leads_again:
            voters = self.lost[-1:]
        self.leader, self.leads_since_s = self.rng.choice(voters), self.clock_s[0]

    def lose_leader(self):
        self.lost.append(self.leader)
        del self.replicas[self.leader]
        self.leader = None

    def member_names(self):
        """Who is lost is a member until the next leader has led for a moment."""
        is_settled = self.leader and self.clock_s[0] - self.leads_since_s > 0.8
        lost = () if is_settled else self.lost[-1:]
        return tuple(dict.fromkeys((*self.replicas, *lost)))

    def apply(self, change):
        self.was_down += [change.member.name] if change.member.state == "down" else []
        members = {**self.cfg.members, change.member.name: change.member}
        self.cfg = dataclasses.replace(self.cfg, members=members)

    def run(self):
        now = self.clock_s[0]
        due = [item for item in self.in_flight if item[0] <= now]
        self.in_flight = [item for item in self.in_flight if item[0] > now]
        for _, sender, target, msg in due:
            if target not in self.replicas:
                continue
            monitor = self.replicas[target].monitor
            if isinstance(msg, control_messages.SilentEntries):
                monitor.take_silence(msg.rows)
            else:
                monitor.take_relayed(report_packing.unpack(msg), sender)
        for replica in list(self.replicas.values()):
            replica.run(now)


class Replica:
    """One replica; the monitor is that of the product."""

    def __init__(self, control, name):
        self._control, self.name = control, name
        cfg = types.SimpleNamespace(instance_list="", instance_poll_s=1.0, name=name)
        self.monitor = instance_monitor.InstanceMonitor(
            cfg, self, reports.Reports(), lambda: None, None
        )
        now = control.clock_s[0]
        self._round_s, self._confirm_s = (now + control.rng.uniform(0, 0.5) for _ in range(2))

    def status(self):
        is_leader = self._control.leader == self.name
        return types.SimpleNamespace(is_leader=is_leader, is_caught_up=True, voter=True)

    def configuration(self):
        return self._control.cfg

    def member_names(self):
        return self._control.member_names()

    def broadcast(self, msg):
        at_s = self._control.clock_s[0] + DELAY_S
        for target in self._control.member_names():
            if target != self.name:
                self._control.in_flight.append((at_s, self.name, target, msg))

    def propose(self, group, change):
        assert self.status().is_leader
        self._control.apply(change)
        fut = concurrent.futures.Future()
        fut.set_result(None)
        return fut

    def run(self, now):
        if now >= self._confirm_s:
            self._confirm_s += 0.5
            if self._control.leader:
                self.monitor.record_confirmed(now)
        if now >= self._round_s:
            self._round_s += instance_monitor.CHECK_INTERVAL_S
            self.monitor._run_status_round(now)


class Entry:
    """Reports each second to a replica that confirms reads, and finds another if it doesn't."""

    def __init__(self, control, name):
        self._control, self._name = control, name
        self._parent, self._next_s, self._search_s = None, 0.0, 0.0
        self._confirmed_s = 0.0

    def run(self, now):
        control = self._control
        if self._parent in control.replicas and control.leader:
            self._confirmed_s = now
        if self._parent and now - self._confirmed_s > 1.2:
            self._parent = None
            self._search_s = now + control.rng.uniform(0.1, 1.0)
        if self._parent is None and control.leader:
            earliest_s = control.leads_since_s + control.rng.uniform(0.1, 1.0)
            if now < max(self._search_s, earliest_s):
                return
            self._parent = control.rng.choice(list(control.replicas))
            self._confirmed_s = self._next_s = now
        if self._parent in control.replicas and now >= self._next_s:
            self._next_s = now + 1.0
            report = messages.StatusReport(self._name, 1, 1, "live", 0.0, 0)
            control.replicas[self._parent].monitor.take_local(messages.StatusBatch((report,)))


@pytest.mark.parametrize("seed", range(40))
def test_lookups_name_no_entry_that_is_gone_and_all_that_live(seed, monkeypatch):
    """Guards against silence that each leader counts anew, and against entries that are taken for
    dead because their replica was replaced."""
    play(seed, monkeypatch, leads_again=False)


@pytest.mark.parametrize("seed", range(40))
def test_the_same_holds_when_a_leader_that_started_again_leads_again(seed, monkeypatch):
    """It has forgotten how long entries were silent, and is lost before it has counted anew."""
    play(seed, monkeypatch, leads_again=True)


def play(seed, monkeypatch, leads_again):
    rng, clock_s = random.Random(seed), [100.0]
    monkeypatch.setattr(instance_monitor.clock, "monotonic_s", lambda: clock_s[0])
    control = Control(rng, clock_s, leads_again)
    entries = {name: Entry(control, name) for name in ENTRIES}
    started_s = clock_s[0] + 4.0
    killed_s = started_s + INTERVAL_S * (2 + rng.random())
    events = [
        (started_s + number * INTERVAL_S + after_s, event)
        for number in range(ROUNDS)
        for after_s, event in (
            (0.0, control.lose_leader),
            (SUCCESSOR_AFTER_S, control.add),
            # The time without a heartbeat, and two rounds of votes.
            (rng.uniform(1.1, 2.1), control.elect),
        )
    ]
    events.sort(key=lambda item: item[0])
    named, down_s = [], float("inf")
    while clock_s[0] < started_s + ROUNDS * INTERVAL_S:
        clock_s[0] += STEP_S
        now = clock_s[0]
        while events and events[0][0] <= now:
            events.pop(0)[1]()
        if now >= killed_s:
            entries.pop("e0", None)
        for entry in entries.values():
            entry.run(now)
        control.run()
        if control.cfg.members["e0"].state == "down":
            down_s = min(down_s, now)
        is_bound = (now - started_s) % INTERVAL_S >= SUCCESSOR_AFTER_S + CONTACT_WINDOW_S
        if is_bound and now >= killed_s + GONE_S and now < down_s + WAY_S:
            named.append(now - killed_s)
    assert set(control.was_down) == {"e0"}
    assert named == []
