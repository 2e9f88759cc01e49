"""``status`` beside replicas of other builds, and what it tells of the control groups."""

import json

import pytest

from oriolelock import cmdline
from tests.cli import replica

STATUS = {
    "confirmed": False,
    "leader": "",
    "version": 7,
    "index": 20,
    "in_force": None,
    "last_known_in_force": "peak",
    "instances": [],
}
MEMBER = {"name": "c1", "voter": True, "reachable": True, "silent_s": 0.0, "replaced": False}
GROUP = {
    "role": "voter",
    "leader": "",
    "leaderless_s": 12.5,
    "has_majority": True,
    "voters": 1,
    "reachable": 1,
    "needed": 1,
    "remedy": "the reachable voters have to elect a leader",
    "members": [MEMBER],
}


def show(data, capsys, *options):
    with replica.running((200, data)) as (_, address):
        assert cmdline.main(["--control", address, "--timeout", "5s", *options, "status"]) == 0
    return capsys.readouterr().out


@pytest.fixture(autouse=True)
def token(monkeypatch):
    monkeypatch.setenv("ORIOLELOCK_TOKEN", "secret-token")
    monkeypatch.delenv("ORIOLELOCK_CONTROL", raising=False)


def test_status_of_a_build_without_groups_is_shown(capsys):
    """The tool is replaced before the replicas are."""
    text = show(STATUS, capsys)
    assert "preset in force: peak" in text and "NOT CONFIRMED" in text


def test_lack_of_a_leader_beside_a_majority(capsys):
    text = show({**STATUS, "groups": {"config": GROUP}}, capsys)
    assert "group config HAS NO LEADER for 12.5 s: 1 of 1 voters can be reached" in text
    assert "remedy: the reachable voters have to elect a leader" in text


def test_calm_groups_take_one_table(capsys):
    """Sixteen record groups would hide the instances."""
    calm = {**GROUP, "leader": "c1", "remedy": ""}
    text = show({**STATUS, "groups": {"config": calm, "record-0": calm}}, capsys)
    assert "HAS NO" not in text
    assert "config" in text and "record-0" not in text


def test_answer_of_a_replica_that_is_no_member(capsys):
    """What it tells of a group that it was removed from is outdated."""
    outside = {**GROUP, "role": "no-member"}
    assert "no member of group config" in show({**STATUS, "groups": {"config": outside}}, capsys)


def test_json_has_all_groups(capsys):
    data = {**STATUS, "groups": {"config": GROUP, "record-0": GROUP}}
    assert json.loads(show(data, capsys, "--output", "json")) == data
