"""Replicas that lost their majority tell who is missing, in logs, state, status and metrics."""

import shutil

import pytest

from oriolelock import cmdline
from tests import waiting
from tests.control import cluster, test_seeds


@pytest.fixture
def replicas(tmp_path):
    started = cluster.Cluster(tmp_path, record_groups=1)
    try:
        started.form()
        for name in started.names:
            started.start(name)
        started.wait_for_leader()
        yield started
    finally:
        started.close()


def log_lines(replicas, name, part):
    lines = (replicas.folder / f"{name}.log").read_text().splitlines()
    return [line for line in lines if f"control.majority: {part}" in line]


def wait_for_lines(replicas, name, part):
    return cluster.wait_for(lambda: log_lines(replicas, name, part), f"a log line {part!r}")


def get_majority(replicas, name, group="config"):
    state = replicas.group_state(name, group)
    return state["majority"] if state else None


def test_log_and_state_name_the_missing_voters(replicas):
    """Operators of the incident could not tell who was gone, nor since when."""
    found = cluster.wait_for(
        lambda: (m := get_majority(replicas, "c1")) and m["reachable"] == 3 and m, "all voters"
    )
    assert (found["role"], found["has_majority"], found["remedy"]) == ("voter", True, "")
    assert log_lines(replicas, "c1", "") == []
    replicas.kill("c2")
    replicas.kill("c3")
    for group in ("config", "record-0"):
        line = wait_for_lines(replicas, "c1", f"Group {group} has no majority")[0]
        assert "WARNING" in line and "1 of 3 voters can be reached, 2 are needed" in line
        assert "c2 (silent for" in line and "1 of c2, c3 must return" in line
    found = get_majority(replicas, "c1", "record-0")
    missing = [member for member in found["members"] if not member["reachable"]]
    assert [member["name"] for member in missing] == ["c2", "c3"]
    assert all(member["silent_s"] > 3.0 for member in missing)
    assert not found["has_majority"] and found["leaderless_s"] > 0.0
    metrics = replicas.call("c1", "state")[1]["metrics"]
    assert metrics["control.has_majority"] == 0
    assert (metrics["control.voters"], metrics["control.voters_needed"]) == (3, 2)
    assert metrics["control.voters_reachable"] == 1
    assert metrics["control.leaderless_s"] > 0.0
    replicas.start("c2")
    wait_for_lines(replicas, "c1", "Group config: a majority is there again")
    replicas.wait_for_leader()
    assert get_majority(replicas, "c1")["has_majority"]


def test_status_shows_a_lost_majority(replicas, capsys, monkeypatch):
    """The status of a replica that answers would look like that of a slow leader."""
    monkeypatch.setenv("ORIOLELOCK_TOKEN", cluster.OPERATOR_TOKEN)
    replicas.kill("c2")
    replicas.kill("c3")
    wait_for_lines(replicas, "c1", "Group config has no majority")
    address = f"127.0.0.1:{replicas.http['c1']}"
    assert cmdline.main(["--control", address, "--timeout", "5s", "status"]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert any(
        line.startswith("group config HAS NO MAJORITY for ")
        and line.endswith("1 of 3 voters can be reached, 2 are needed")
        for line in lines
    )
    assert "  remedy: 1 of c2, c3 must return" in lines
    assert any(line.startswith("  missing: c3, silent for ") for line in lines)
    rows = [line.split() for line in lines if line.startswith(("config ", "record-0 "))]
    assert [row[:4] for row in rows] == [
        [group, name, "yes", "yes" if name == "c1" else "no"]
        for group in ("config", "record-0")
        for name in replicas.names
    ]


def test_voters_that_came_back_without_data_are_told(replicas):
    """All three would be connected, and still no leader could be elected."""
    replicas.kill("c2")
    replicas.kill("c3")
    # Else c1, if it leads, appends a membership with one of the two as a learner.
    cluster.wait_for(lambda: replicas.group_state("c1")["leader"] == "", "the end of the leader")
    for name in ("c2", "c3"):
        shutil.rmtree(replicas.folder / name)
        replicas.start(name)
    remedy = "none by itself: the data of c2, c3 are gone"
    cluster.wait_for(
        lambda: (m := get_majority(replicas, "c1")) and m["remedy"] == remedy, "the remedy"
    )
    line = wait_for_lines(replicas, "c1", "Group config has no majority")[0]
    assert "c2 (" in line and "c3 (" in line


def test_metrics_of_a_hosted_replica(tmp_path):
    """The metrics of the incident showed no difference between calm and a group that stands."""
    group = test_seeds.Replicas(tmp_path, 3)
    try:
        for number in range(3):
            group.start(number, True)
        group.wait_for_voters(3)
        replica = group.running[0]
        # The others may have a leader of whom this one has not heard yet.
        waiting.until(lambda: replica.replica.status().leader != "")
        waiting.until(lambda: "voters_reachable 3\n" in replica.metrics_text())
        lines = replica.metrics_text().splitlines()
        for line in ("voters 3", "voters_needed 2", "learners 0", "has_majority 1"):
            assert f"oriolelock_control_{line}" in lines
        assert "oriolelock_control_leaderless_s 0.0" in lines
        group.stop(1)
        group.stop(2)
        waiting.until(lambda: "oriolelock_control_has_majority 0\n" in replica.metrics_text())
        assert "oriolelock_control_voters_reachable 1\n" in replica.metrics_text()
    finally:
        group.stop_all()
