"""Guards against replicas of a record group that differ after a restore."""

from oriolelock.control import commands, record_state
from oriolelock.model import results
from oriolelock.once import messages

NOW_S = 1_000_000.0


def claim(key, claim_id):
    return messages.ClaimKey(key, "digest", "entry-1", claim_id, 5.0)


def test_key_is_granted_once_also_after_restore():
    machine = record_state.RecordState()
    first = machine.apply(1, commands.Command(NOW_S, claim("1000000-a", "1")))
    assert first == messages.Granted()
    restored = record_state.RecordState()
    restored.restore(machine.encode())
    for replica_machine in (machine, restored):
        # The clock of this command's leader is behind.
        second = replica_machine.apply(2, commands.Command(NOW_S - 50, claim("1000000-a", "2")))
        assert second == messages.InProgress()
    assert restored.wall_s == machine.wall_s == NOW_S


def test_other_commands_are_refused():
    machine = record_state.RecordState()
    assert isinstance(machine.apply(1, commands.Command(NOW_S, "x")), results.Refused)


def test_keys_are_spread_over_groups():
    groups = {record_state.group_of(f"1000000-{n}", 4) for n in range(100)}
    assert groups == {f"record-{n}" for n in range(4)}
