"""A replica with a long log to apply must go on voting, and a restart must not take long."""

import itertools
import types

import pytest

from oriolelock.consensus import messages, outputs, persistent_state
from oriolelock.control import applier, commands, config_state, snapshot_policy
from oriolelock.model import changes
from oriolelock.wire import codec
from tests.control import samples

MEMBERSHIP = messages.Membership((messages.Replica("c1", "initial", True),))
ENTRY_S = 0.02
MB = 1024 * 1024


@pytest.fixture
def clock_s(monkeypatch):
    """A clock that each applied entry advances by ``ENTRY_S``."""
    now = [0.0]
    monkeypatch.setattr(applier.clock, "monotonic_s", lambda: now[0])
    return now


class SlowMachine:
    def __init__(self, clock_s):
        self._clock_s = clock_s
        self.applied = []

    def apply(self, index, command):
        self._clock_s[0] += ENTRY_S
        self.applied.append(index)
        return index

    def restore(self, data):
        self.applied = [data]


def make_entries(count, first=1):
    data = codec.encode(commands.Command(1.0, None))
    return tuple(messages.Entry(n, 1, "command", data) for n in range(first, first + count))


def make_applier(clock_s, results=None):
    stored = persistent_state.PersistentState(1, "", 0, 0, MEMBERSHIP, (), b"")
    machine = SlowMachine(clock_s)
    on_applied = (lambda e, r: results.append(r)) if results is not None else lambda e, r: None
    policy = snapshot_policy.SnapshotPolicy(10_000, 0, 0)
    return applier.Applier("config", machine, stored, policy, on_applied), machine


def test_a_long_log_is_applied_a_slice_at_a_time(clock_s):
    results = []
    work, _ = make_applier(clock_s, results)
    work.add(make_entries(100))
    slices = 0
    while work.apply_for(0.05):
        slices += 1
        assert clock_s[0] <= slices * (0.05 + ENTRY_S)
    assert slices > 30
    assert (results, work.applied, work.is_behind) == (list(range(1, 101)), 100, False)


def test_an_entry_that_takes_longer_than_a_slice_is_applied(clock_s):
    work, machine = make_applier(clock_s)
    work.add(make_entries(2))
    assert work.apply_for(ENTRY_S / 10)
    assert machine.applied == [1]
    assert work.is_behind


def test_a_received_snapshot_replaces_the_entries_that_wait(clock_s):
    work, machine = make_applier(clock_s)
    work.add(make_entries(50))
    work.apply_for(0.05)
    work.restore(outputs.RestoreSnapshot(50, 3, MEMBERSHIP, b"state"))
    assert (work.applied, work.applied_term, work.is_behind) == (50, 3, False)
    assert not work.apply_for(0.05)
    assert machine.applied == [b"state"]


@pytest.mark.parametrize(("size", "duration_s"), [(100_000, 0.0), (100, 0.06), (8 * MB, 0.9)])
def test_what_a_restart_has_to_apply_is_bounded(size, duration_s):
    """By bytes and time: a bound by number alone left 500 whole configurations to apply."""
    policy = snapshot_policy.SnapshotPolicy(500, 0, 200_000)
    count = next(
        n for n in itertools.count(1) if policy.record_applied(size, duration_s) or policy.is_due(n)
    )
    assert (count - 1) * size < snapshot_policy.MAX_LOG_BYTES
    assert (count - 1) * duration_s < snapshot_policy.MAX_REPLAY_S
    policy.record_snapshot(count, 200_000, 0.01)
    assert not policy.is_due(count + 1)


def test_snapshots_that_are_slow_to_take_are_taken_less_often():
    policy = snapshot_policy.SnapshotPolicy(500, 0, 0)
    policy.record_snapshot(10, 100, 2.0)
    policy.record_applied(100, 1.9)
    assert not policy.is_due(20)
    policy.record_applied(100, 0.2)
    assert policy.is_due(20)


def test_changes_give_the_same_state_in_slices_and_at_once():
    def command(number):
        preset = samples.make_preset(f"p{number}")
        change = commands.OperatorChange(str(number), None, "", changes.PutPreset(preset))
        return codec.encode(commands.Command(float(number), change))

    entries = tuple(messages.Entry(n, 1, "command", command(n)) for n in range(1, 21))
    stored = persistent_state.PersistentState(1, "", 0, 0, MEMBERSHIP, (), b"")
    states = []
    for limit_s in (0.0001, 60.0):
        machine = config_state.ConfigState()
        policy = types.SimpleNamespace(record_applied=lambda size, duration_s: None)
        work = applier.Applier("config", machine, stored, policy, lambda e, r: None)
        work.add(entries)
        while work.apply_for(limit_s):
            pass
        states.append(machine.encode())
    assert states[0] == states[1]
