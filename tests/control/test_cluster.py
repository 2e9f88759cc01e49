"""Guards against accepted changes that are lost with a replica, and replicas that lie."""

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
def three(tmp_path):
    item = cluster.Cluster(tmp_path)
    try:
        item.form()
        for name in item.names:
            item.start(name)
        yield item
    finally:
        item.close()


def put(three, name, preset, change_id, expect_version=None):
    data = samples.preset_json(preset)
    return three.change(name, change_id, "put-preset", expect_version, preset=data)


def receive(conn, wanted):
    """Return the next message for which ``wanted`` holds."""
    while True:
        msg = conn.recv(10.0)
        assert msg is not None, "nothing arrived"
        if wanted(msg):
            return msg


def test_subscriber_follows_changes(three):
    leader = three.wait_for_leader()
    follower = next(name for name in three.names if name != leader)
    assert put(three, follower, "normal", "1", 0)[1]["result"] == "applied"
    conn = three.subscribe(follower)
    conn.send(messages.Subscribe("e1", 0))
    snapshot = receive(conn, lambda msg: isinstance(msg, messages.Snapshot))
    assert snapshot.confirmed
    assert set(snapshot.configuration.presets) == {"normal"}
    assert three.change(leader, "2", "use-preset", 1, name="normal")[0] == 200
    found = receive(conn, lambda msg: isinstance(msg, messages.Delta) and msg.changes)
    after = delta.apply_all(snapshot.configuration, found.to_index, found.changes)
    assert (after.in_force, after.version, found.confirmed) == ("normal", 2, True)
    conn.close()


def test_accepted_change_survives_the_loss_of_its_leader_and_of_a_disk(three):
    leader = three.wait_for_leader()
    assert put(three, leader, "normal", "1", 0)[0] == 200
    assert three.change(leader, "2", "use-preset", 1, name="normal")[0] == 200
    three.kill(leader)
    second = three.wait_for_leader()
    assert three.in_force(second) == "normal"
    # The operator lost the first result and sends the change again, to another replica.
    again = three.change(second, "2", "use-preset", 1, name="normal")
    assert again[1] == {"result": "applied", "version": 2, "index": again[1]["index"]}
    shutil.rmtree(three.folder / leader)
    three.start(leader)
    for group in ("config", "record-0", "record-1"):
        cluster.wait_for(lambda g=group: is_voter(three, leader, g), f"{leader} counts in {group}")
    # The majority now needs the replica that lost its disk.
    other = next(name for name in three.names if name not in (leader, second))
    three.kill(other)
    assert cluster.wait_for(lambda: applied(put(three, second, "peak", "3")), "a majority")
    assert cluster.wait_for(lambda: three.in_force(leader), "a confirmed read") == "normal"


def is_voter(three, name, group):
    state = three.state(name, group)
    return state is not None and state["voter"]


def applied(answer):
    return answer[0] == 200


def test_of_racing_operators_one_wins_each_version(three):
    three.wait_for_leader()
    with concurrent.futures.ThreadPoolExecutor() as pool:
        for version in range(5):
            futs = [
                pool.submit(put, three, name, f"p-{name}", f"{version}-{name}", version)
                for name in three.names
            ]
            answers = [fut.result() for fut in futs]
            won = [data for status, data in answers if status == 200]
            lost = [data for status, data in answers if status == 409]
            assert [data["version"] for data in won] == [version + 1], answers
            assert lost == [{"result": "conflict", "version": version + 1}] * 2


def test_minority_neither_accepts_changes_nor_confirms_reads(three):
    leader = three.wait_for_leader()
    assert put(three, leader, "normal", "1")[0] == 200
    assert three.change(leader, "2", "use-preset", 1, name="normal")[0] == 200
    for name in three.names:
        if name != leader:
            three.kill(name)
    status, data = three.call(leader, "status")
    assert (status, data["confirmed"], data["in_force"]) == (200, False, None)
    assert data["last_known_in_force"] == "normal"
    status, data = put(three, leader, "peak", "3")
    assert (status, data["result"]) == (503, "unavailable")
    conn = three.subscribe(leader)
    conn.send(messages.Subscribe("e1", 0))
    assert not receive(conn, lambda msg: isinstance(msg, messages.Snapshot)).confirmed
    conn.close()


def test_leader_that_was_frozen_does_not_vouch_for_its_old_preset(three):
    old = three.wait_for_leader()
    assert put(three, old, "normal", "1")[0] == 200
    assert three.change(old, "2", "use-preset", name="normal")[0] == 200
    three.signal(old, signal.SIGSTOP)
    other = next(name for name in three.names if name != old)
    # Sent while the frozen replica still counts as leader; the new one takes it over.
    assert put(three, other, "peak", "3")[0] == 200
    assert three.change(other, "4", "use-preset", name="peak")[0] == 200
    three.signal(old, signal.SIGCONT)
    shown = cluster.wait_for(lambda: three.call(old, "status")[1], "an answer")
    assert shown["in_force"] in (None, "peak")
    assert cluster.wait_for(lambda: three.in_force(old), "a confirmed read") == "peak"


def test_replica_rejoins_by_snapshot_after_hundreds_of_changes(tmp_path):
    with contextlib.closing(cluster.Cluster(tmp_path, snapshot_every=100)) as three:
        three.form()
        for name in three.names:
            three.start(name)
        leader = three.wait_for_leader()
        lost = next(name for name in three.names if name != leader)
        three.kill(lost)
        shutil.rmtree(tmp_path / lost)
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            # More than the log keeps before a snapshot, so that the log alone can't do.
            futs = [pool.submit(put, three, leader, f"p{n % 7}", str(n)) for n in range(1300)]
            assert {fut.result()[0] for fut in futs} == {200}
        three.start(lost)
        cluster.wait_for(lambda: is_voter(three, lost, "config"), f"{lost} counts")
        assert "restored a snapshot" in (tmp_path / f"{lost}.log").read_text()
        for name in three.names:
            if name in three.processes:
                three.kill(name)
        for name in three.names:
            three.start(name)
        three.wait_for_leader()
        data = cluster.wait_for(lambda: confirmed_status(three, lost), "a confirmed read")
        assert data["version"] == 1300
        assert put(three, lost, "p0", "0")[1]["version"] <= 8


def confirmed_status(three, name):
    data = three.call(name, "status")[1]
    return data if data and data["confirmed"] else None


def test_claim_over_the_uplink_is_granted_once_by_any_replica(three):
    for group in ("config", "record-0", "record-1"):
        three.wait_for_leader(group)
    key = f"{int(time.time())}-seat"
    found = []
    for name in three.names:
        conn = three.subscribe(name)
        claim = once_messages.ClaimKey(key, "digest", "e1", f"claim-{name}", 5.0)
        conn.send(messages.UplinkCall("1", claim))
        found.append(receive(conn, lambda msg: isinstance(msg, messages.UplinkReply)).payload)
        conn.close()
    assert found == [
        once_messages.Granted(),
        once_messages.InProgress(),
        once_messages.InProgress(),
    ]


def test_planned_stop_hands_leadership_over(three):
    leader = three.wait_for_leader()
    assert put(three, leader, "normal", "1")[0] == 200
    assert three.terminate(leader) == 0
    other = next(iter(three.processes))
    # Well below the shortest election timeout, which an unplanned stop would cost.
    cluster.wait_for(lambda: three.leader() not in (None, leader), "a new leader", 1.0)
    assert three.in_force(other) == ""
    assert "handed over" in (three.folder / f"{leader}.log").read_text()


def test_second_use_of_a_data_folder_is_refused(three):
    three.wait_for_leader()
    for options in ((), ("--form",)):
        found = subprocess.run(three.command("c1", *options), capture_output=True, timeout=30)
        assert found.returncode == 3
        assert found.stderr.count(b"\n") == 1
