"""Guards against accepted changes that are lost, and replicas that confirm outdated state."""

import concurrent.futures
import contextlib
import shutil
import signal
import subprocess
import time

import pytest

from oriolelock.distribution import messages
from oriolelock.model import delta
from oriolelock.once import messages as once_messages
from tests.control import cluster, samples


@pytest.fixture
def replicas(tmp_path):
    started = cluster.Cluster(tmp_path)
    try:
        started.form()
        for name in started.names:
            started.start(name)
        yield started
    finally:
        started.close()


def put(replicas, name, preset, change_id, expect_version=None):
    data = samples.preset_json(preset)
    return replicas.change(name, change_id, "put-preset", expect_version, preset=data)


def receive(conn, predicate):
    """Return the next message for which ``predicate`` holds."""
    while True:
        msg = conn.recv(10.0)
        assert msg is not None, "nothing arrived"
        if predicate(msg):
            return msg


def test_subscriber_follows_changes(replicas):
    leader = replicas.wait_for_leader()
    follower = next(name for name in replicas.names if name != leader)
    assert put(replicas, follower, "normal", "1", 0)[1]["result"] == "applied"
    conn = replicas.connect_link(follower)
    conn.send(messages.Subscribe("e1", 0))
    snapshot = receive(conn, lambda msg: isinstance(msg, messages.Snapshot))
    assert snapshot.confirmed
    assert set(snapshot.configuration.presets) == {"normal"}
    assert replicas.change(leader, "2", "use-preset", 1, name="normal")[0] == 200
    update = receive(conn, lambda msg: isinstance(msg, messages.Delta) and msg.changes)
    after = delta.apply_all(snapshot.configuration, update.to_index, update.changes)
    assert (after.in_force, after.version, update.confirmed) == ("normal", 2, True)
    conn.close()


def test_accepted_change_survives_the_loss_of_the_leader_and_its_disk(replicas):
    leader = replicas.wait_for_leader()
    assert put(replicas, leader, "normal", "1", 0)[0] == 200
    assert replicas.change(leader, "2", "use-preset", 1, name="normal")[0] == 200
    replicas.kill(leader)
    successor = replicas.wait_for_leader()
    assert replicas.confirmed_preset(successor) == "normal"
    # As if the operator had not received the first result: the change is resent to another replica.
    again = replicas.change(successor, "2", "use-preset", 1, name="normal")
    assert again[1] == {"result": "applied", "version": 2, "index": again[1]["index"]}
    shutil.rmtree(replicas.folder / leader)
    replicas.start(leader)
    for group in ("config", "record-0", "record-1"):
        cluster.wait_for(
            lambda g=group: is_voter(replicas, leader, g), f"{leader} votes in {group}"
        )
    # From now on a majority includes the replica that lost its disk.
    other = next(name for name in replicas.names if name not in (leader, successor))
    replicas.kill(other)
    assert cluster.wait_for(lambda: is_applied(put(replicas, successor, "peak", "3")), "a majority")
    assert (
        cluster.wait_for(lambda: replicas.confirmed_preset(leader), "a confirmed read") == "normal"
    )


def is_voter(replicas, name, group):
    state = replicas.group_state(name, group)
    return state is not None and state["voter"]


def is_applied(answer):
    return answer[0] == 200


def test_one_of_several_concurrent_changes_wins_each_version(replicas):
    replicas.wait_for_leader()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        for version in range(5):
            futs = [
                pool.submit(put, replicas, name, f"p-{name}", f"{version}-{name}", version)
                for name in replicas.names
            ]
            answers = [fut.result() for fut in futs]
            applied = [data for status, data in answers if status == 200]
            conflicts = [data for status, data in answers if status == 409]
            assert [data["version"] for data in applied] == [version + 1], answers
            assert conflicts == [{"result": "conflict", "version": version + 1}] * 2


def test_minority_neither_accepts_changes_nor_confirms_reads(replicas):
    leader = replicas.wait_for_leader()
    assert put(replicas, leader, "normal", "1")[0] == 200
    assert replicas.change(leader, "2", "use-preset", 1, name="normal")[0] == 200
    for name in replicas.names:
        if name != leader:
            replicas.kill(name)
    status, data = replicas.call(leader, "status")
    assert (status, data["confirmed"], data["in_force"]) == (200, False, None)
    assert data["last_known_in_force"] == "normal"
    status, data = put(replicas, leader, "peak", "3")
    assert (status, data["result"]) == (503, "unavailable")
    conn = replicas.connect_link(leader)
    conn.send(messages.Subscribe("e1", 0))
    assert not receive(conn, lambda msg: isinstance(msg, messages.Snapshot)).confirmed
    conn.close()


def test_paused_leader_does_not_confirm_its_outdated_preset(replicas):
    old = replicas.wait_for_leader()
    assert put(replicas, old, "normal", "1")[0] == 200
    assert replicas.change(old, "2", "use-preset", name="normal")[0] == 200
    replicas.signal(old, signal.SIGSTOP)
    other = next(name for name in replicas.names if name != old)
    # Sent while the paused replica still counts as leader; the call is resent to the new one.
    assert put(replicas, other, "peak", "3")[0] == 200
    assert replicas.change(other, "4", "use-preset", name="peak")[0] == 200
    replicas.signal(old, signal.SIGCONT)
    shown = cluster.wait_for(lambda: replicas.call(old, "status")[1], "an answer")
    assert shown["in_force"] in (None, "peak")
    assert cluster.wait_for(lambda: replicas.confirmed_preset(old), "a confirmed read") == "peak"


def test_replica_rejoins_by_snapshot_after_hundreds_of_changes(tmp_path):
    with contextlib.closing(cluster.Cluster(tmp_path, snapshot_every=100)) as replicas:
        replicas.form()
        for name in replicas.names:
            replicas.start(name)
        leader = replicas.wait_for_leader()
        lost = next(name for name in replicas.names if name != leader)
        replicas.kill(lost)
        shutil.rmtree(tmp_path / lost)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            # More entries than the log keeps, so that the replica needs a snapshot.
            futs = [pool.submit(put, replicas, leader, f"p{n % 7}", str(n)) for n in range(1300)]
            assert {fut.result()[0] for fut in futs} == {200}
        replicas.start(lost)
        cluster.wait_for(lambda: is_voter(replicas, lost, "config"), f"{lost} votes")
        assert "restored a snapshot" in (tmp_path / f"{lost}.log").read_text()
        for name in replicas.names:
            if name in replicas.processes:
                replicas.kill(name)
        for name in replicas.names:
            replicas.start(name)
        replicas.wait_for_leader()
        data = cluster.wait_for(lambda: confirmed_status(replicas, lost), "a confirmed read")
        assert data["version"] == 1300
        assert put(replicas, lost, "p0", "0")[1]["version"] <= 8


def confirmed_status(replicas, name):
    data = replicas.call(name, "status")[1]
    return data if data and data["confirmed"] else None


def test_claim_over_the_uplink_is_granted_once_by_any_replica(replicas):
    for group in ("config", "record-0", "record-1"):
        replicas.wait_for_leader(group)
    key = f"{int(time.time())}-seat"
    answers = []
    for name in replicas.names:
        conn = replicas.connect_link(name)
        claim = once_messages.ClaimKey(key, "digest", "e1", f"claim-{name}", 5.0)
        conn.send(messages.UplinkCall("1", claim))
        answers.append(receive(conn, lambda msg: isinstance(msg, messages.UplinkReply)).payload)
        conn.close()
    assert answers == [
        once_messages.Granted(),
        once_messages.InProgress(),
        once_messages.InProgress(),
    ]


def test_planned_stop_hands_leadership_over(replicas):
    leader = replicas.wait_for_leader()
    assert put(replicas, leader, "normal", "1")[0] == 200
    assert replicas.terminate(leader) == 0
    other = next(iter(replicas.processes))
    # 1 s is well below the shortest election timeout, which an unplanned stop would take.
    cluster.wait_for(lambda: replicas.leader() not in (None, leader), "a new leader", 1.0)
    assert replicas.confirmed_preset(other) == ""
    assert "handed over" in (replicas.folder / f"{leader}.log").read_text()


def test_second_use_of_a_data_folder_is_refused(replicas):
    replicas.wait_for_leader()
    for options in ((), ("--form",)):
        result = subprocess.run(
            replicas.command_line("c1", *options), capture_output=True, timeout=30
        )
        assert result.returncode == 3
        assert result.stderr.count(b"\n") == 1
