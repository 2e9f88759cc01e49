"""Guards against instances that are removed because the list lags, fails or is malformed."""

import json

import pytest

from oriolelock.control import commands, config_state, instance_list
from oriolelock.model import changes, member

ENTRY = {
    "id": "e1",
    "role": "entry",
    "address": "127.0.0.1:1",
    "region": "perth",
    "failure_domain": "p1",
    "service": "",
    "slots": 0,
    "connections": 0,
    "state": "live",
}
ENDPOINT = {**ENTRY, "id": "p1", "role": "endpoint", "service": "s", "slots": 3, "connections": 9}


def apply_reading(diff, machine, *rows):
    """Return the changes that follow from a reading of the list, after applying them."""
    listed = instance_list.parse(json.dumps(rows).encode())
    updates = diff.find_changes(machine.view(), listed)
    for change in updates:
        machine.apply(machine.view().index + 1, commands.Command(1.0, change))
    return updates


def test_only_differences_become_changes_including_the_state_leaving():
    diff, machine = instance_list.InstanceDiff(), config_state.ConfigState()
    assert len(apply_reading(diff, machine, ENTRY, ENDPOINT)) == 2
    assert apply_reading(diff, machine, ENTRY, ENDPOINT) == []
    assert len(apply_reading(diff, machine, ENTRY, {**ENDPOINT, "state": "leaving"})) == 1
    assert machine.view().endpoints["p1"].state == "leaving"


def test_missing_instance_is_removed_only_after_several_readings():
    diff, machine = instance_list.InstanceDiff(), config_state.ConfigState()
    apply_reading(diff, machine, ENTRY, ENDPOINT)
    for _ in range(instance_list.READINGS_UNTIL_REMOVED - 1):
        assert apply_reading(diff, machine, ENTRY) == []
    apply_reading(diff, machine, ENTRY, ENDPOINT)
    for _ in range(instance_list.READINGS_UNTIL_REMOVED - 1):
        assert apply_reading(diff, machine, ENTRY) == []
    assert apply_reading(diff, machine, ENTRY) == [changes.RemoveEndpoint("p1")]


def test_reporting_instance_is_not_removed():
    diff, machine = instance_list.InstanceDiff(), config_state.ConfigState()
    apply_reading(diff, machine, ENTRY, ENDPOINT)
    listed = instance_list.parse(json.dumps([ENDPOINT]).encode())
    for _ in range(2 * instance_list.READINGS_UNTIL_REMOVED):
        assert diff.find_changes(machine.view(), listed, seen={"e1"}) == []
    # Readings are counted from the last report on.
    for _ in range(instance_list.READINGS_UNTIL_REMOVED - 1):
        assert diff.find_changes(machine.view(), listed) == []
    assert diff.find_changes(machine.view(), listed) == [changes.RemoveMember("e1")]


def test_empty_list_changes_nothing():
    diff, machine = instance_list.InstanceDiff(), config_state.ConfigState()
    apply_reading(diff, machine, ENTRY, ENDPOINT)
    for _ in range(2 * instance_list.READINGS_UNTIL_REMOVED):
        assert apply_reading(diff, machine) == []


def test_list_does_not_set_an_entry_live_that_is_down():
    diff, machine = instance_list.InstanceDiff(), config_state.ConfigState()
    apply_reading(diff, machine, ENTRY)
    down_member = member.Member("e1", "entry", "127.0.0.1:1", "", "perth", "p1", "down")
    down = changes.SetMember(down_member)
    machine.apply(50, commands.Command(1.0, down))
    assert apply_reading(diff, machine, ENTRY) == []
    assert len(apply_reading(diff, machine, {**ENTRY, "state": "leaving"})) == 1


def test_lagging_list_does_not_set_an_entry_live_that_is_leaving():
    diff, machine = instance_list.InstanceDiff(), config_state.ConfigState()
    apply_reading(diff, machine, ENTRY)
    listed = instance_list.parse(json.dumps([ENTRY]).encode())
    (change,) = diff.find_changes(machine.view(), listed, {"e1"})
    assert change.member.state == "leaving"
    machine.apply(50, commands.Command(1.0, change))
    assert diff.find_changes(machine.view(), listed, {"e1"}) == []
    # It restarted and no longer reports a planned stop.
    (change,) = diff.find_changes(machine.view(), listed)
    assert change.member.state == "live"


@pytest.mark.parametrize("body", [b"", b"{}", b"7", b'[{"id": "e1"', b"[" * 100_000])
def test_malformed_list_is_refused_as_a_whole(body):
    with pytest.raises(instance_list.ListUnreadable):
        instance_list.parse(body)


ODD_ENTRIES = [b"1", b'{"id": "e1"}', json.dumps({**ENTRY, "role": "x"}).encode()]
ODD_ENTRIES += [
    json.dumps({**ENDPOINT, "slots": value}).encode()
    for value in (0, -1, "3", None, True, 10**30, float("inf"), float("nan"), [[[]]])
]
ODD_ENTRIES += [
    json.dumps({**ENDPOINT, "address": value}).encode()
    for value in ("127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1", "h:99999999999")
]
ODD_ENTRIES += [
    json.dumps(ENDPOINT).encode().replace(b'"slots": 3', b'"slots": ' + value)
    for value in (
        b"9" * 5000,
        b"1e999",
        b"[" * 100_000 + b"]" * 100_000,
        b"[" * 900 + b"]" * 900,
    )
]


@pytest.mark.parametrize("odd", ODD_ENTRIES)
def test_odd_entry_is_left_out_and_the_others_are_followed(odd):
    other = json.dumps({**ENDPOINT, "id": "p2"}).encode()
    body = b"[" + b",".join([odd, other, odd]) + b"]"
    assert list(instance_list.parse(body)) == ["p2"]


def test_new_start_under_an_old_id_changes_nothing():
    diff, machine = instance_list.InstanceDiff(), config_state.ConfigState()
    apply_reading(diff, machine, {**ENDPOINT, "started_ms": 1_700_000_000_000})
    changed = apply_reading(diff, machine, {**ENDPOINT, "started_ms": 1_700_000_009_000})
    assert [change.endpoint.started_ms for change in changed] == [1_700_000_009_000]


@pytest.mark.parametrize("value", [None, "1", True, -1, 1.5, 10**30, [], {}])
def test_endpoint_with_an_odd_start_time_is_left_out(value):
    listed = instance_list.parse(json.dumps([{**ENDPOINT, "started_ms": value}]).encode())
    assert listed["p1"].started_ms == 0


def test_unreachable_list_is_reported():
    with pytest.raises(instance_list.ListUnreadable):
        instance_list.fetch("http://127.0.0.1:1/instances")
