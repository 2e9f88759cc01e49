"""
tests.consensus.test_replication
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~
"""

import random

from oriolelock.consensus import (
    events,
    messages,
    node,
    node_settings,
    outputs,
    persistent_state,
    replication,
    snapshots,
)
from oriolelock.wire import codec
from tests.consensus import driver


def pending_appends(cluster, target):
    sent_msgs = [message[3] for message in cluster.network if message[2] == target]
    return [msg for msg in sent_msgs if isinstance(msg, messages.Append) and msg.entries]


def make_membership(*names):
    return messages.Membership(tuple(messages.Replica(name, "initial", True) for name in names))


def make_follower(entries=(), membership=None):
    """Return a follower ``n1`` whose disk contains entries with these (index, term) pairs."""
    membership = make_membership("n0", "n1", "n2") if membership is None else membership
    entries_on_disk = tuple(messages.Entry(index, term, "command", b"") for index, term in entries)
    disk = persistent_state.PersistentState(
        entries[-1][1] if entries else 0, "", 0, 0, membership, entries_on_disk, b""
    )
    return node.make(node_settings.NodeSettings("n1", "initial"), disk, 0.0, random.Random(0))


def deliver_append(follower, previous, entries=(), term=9, commit=0):
    log_entries = tuple(
        messages.Entry(index, entry_term, "command", b"") for index, entry_term in entries
    )
    msg = messages.Append(term, *previous, commit, 1, log_entries)
    step_outputs = node.step(follower, events.Received("n0", "initial", msg), 0.0)
    save_numbers = [output.number for output in step_outputs if isinstance(output, outputs.Save)]
    return step_outputs, save_numbers[0] if save_numbers else 0


def sent_replies(step_outputs):
    return [output.msg for output in step_outputs if isinstance(output, outputs.Send)]


def test_acknowledges_only_durable_entries():
    """Guards against a commit by a majority that has the entry only in memory."""
    follower = make_follower([(1, 1)])
    step_outputs, first_save = deliver_append(follower, (1, 1))
    assert sent_replies(step_outputs) == []
    step_outputs = node.step(follower, events.Saved(first_save), 0.0)
    assert sent_replies(step_outputs) == [messages.AppendReply(9, True, 1, 1)]
    step_outputs, second_save = deliver_append(follower, (1, 1), [(2, 9)])
    assert sent_replies(step_outputs) == [messages.AppendReply(9, True, 1, 1)]
    step_outputs = node.step(follower, events.Saved(second_save), 0.0)
    assert sent_replies(step_outputs) == [messages.AppendReply(9, True, 2, 1)]


def test_drops_acknowledgement_from_earlier_term():
    """Guards against acknowledging an entry that a later leader has replaced."""
    follower = make_follower()
    _, first_save = deliver_append(follower, (0, 0), [(1, 9)], term=9)
    _, second_save = deliver_append(follower, (0, 0), [(1, 10)], term=10)
    assert sent_replies(node.step(follower, events.Saved(first_save), 0.0)) == []
    step_outputs = node.step(follower, events.Saved(second_save), 0.0)
    assert {msg.term for msg in sent_replies(step_outputs)} == {10}


def test_truncated_entry_is_not_durable():
    """Guards against counting the save of an entry that has been replaced since."""
    follower = make_follower([(1, 1), (2, 1)])
    deliver_append(follower, (2, 1), [(3, 9)], term=9)
    deliver_append(follower, (1, 1), [(2, 10)], term=10)
    assert follower.durable_index == 1
    node.step(follower, events.Saved(1), 0.0)
    assert follower.durable_index == 1
    node.step(follower, events.Saved(2), 0.0)
    assert follower.durable_index == 2


def test_rejected_append_skips_conflicting_term():
    """Guards against one round trip per conflicting entry."""
    follower = make_follower([(1, 1), *((index, 2) for index in range(2, 100))])
    step_outputs, save_number = deliver_append(follower, (90, 3))
    step_outputs = node.step(follower, events.Saved(save_number), 0.0)
    assert sent_replies(step_outputs) == [messages.AppendReply(9, False, 1, 1)]


def test_commit_requires_entry_of_current_term():
    """Guards against committing an entry that a later leader may replace (Raft paper, figure 8)."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    leader_node = cluster.replicas[leader].node
    leader_node.term += 1
    reply = messages.AppendReply(leader_node.term, True, 1, 1)
    follower = next(name for name in cluster.replicas if name != leader)
    leader_node.commit_index = 0
    cluster.step(leader, events.Received(follower, "initial", reply))
    assert leader_node.commit_index == 0


def test_messages_in_flight_are_bounded(monkeypatch):
    """Guards against a slow follower that exhausts the memory or bandwidth of the leader."""
    monkeypatch.setattr(replication, "MAX_MESSAGE_BYTES", 1000)
    monkeypatch.setattr(replication, "MAX_IN_FLIGHT", 4)
    monkeypatch.setattr(replication, "MAX_UNCOMMITTED_ENTRIES", 200)
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    for _ in range(300):
        cluster.step(leader, events.Propose("p", b"x" * 60))
    assert cluster.results[-1].reason == "overloaded"
    assert all(
        len(pending_appends(cluster, name)) <= 4 for name in cluster.replicas if name != leader
    )
    cluster.run_until(lambda: min(replica.applied for replica in cluster.replicas.values()) > 200)


def test_reads_work_with_full_disks():
    """Guards against reads that fail although only new entries cannot be saved."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    cluster.propose(leader)
    cluster.run(30, sync=0.0)
    request_id = cluster.read(leader)
    cluster.run(5, sync=0.0)
    assert any(
        isinstance(output, outputs.ReadReady) and output.request_id == request_id
        for output in cluster.results
    )


def test_read_at_new_leader_waits_for_its_first_commit():
    """Guards against a read that misses entries committed by the previous leader."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    assert cluster.replicas[leader].node.commit_index == 0
    cluster.read(leader)
    cluster.run(10)
    ready = [output for output in cluster.results if isinstance(output, outputs.ReadReady)]
    assert [output.index for output in ready] == [1]


def test_snapshot_is_sent_in_chunks(monkeypatch):
    """Guards against a follower that never catches up after its next entry was compacted."""
    monkeypatch.setattr(snapshots, "RETAINED_ENTRIES", 2)
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 5)
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    lagging_follower = next(name for name in cluster.replicas if name != leader)
    cluster.partitioned.add(lagging_follower)
    for _ in range(20):
        cluster.propose(leader)
        cluster.run()
    cluster.snapshot(leader)
    assert cluster.replicas[leader].node.log.base_index >= 15
    cluster.partitioned.clear()
    cluster.run_until(
        lambda: cluster.replicas[lagging_follower].applied == cluster.replicas[leader].applied
    )
    assert cluster.replicas[lagging_follower].disk.snapshot_index >= 15
    cluster.crash(lagging_follower)
    cluster.run(10)
    assert cluster.replicas[lagging_follower].applied == cluster.replicas[leader].applied


def test_lagging_follower_gets_retained_entries():
    """Guards against sending a snapshot to a follower that lacks only a few entries."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    lagging_follower = next(name for name in cluster.replicas if name != leader)
    cluster.partitioned.add(lagging_follower)
    for _ in range(20):
        cluster.propose(leader)
        cluster.run()
    cluster.snapshot(leader)
    cluster.partitioned.clear()
    cluster.run(10)
    assert cluster.replicas[lagging_follower].applied == cluster.replicas[leader].applied
    assert cluster.replicas[lagging_follower].disk.snapshot_index == 0


def deliver_chunk(follower, offset, data, done, term=9, last=(3, 2)):
    msg = messages.InstallSnapshot(term, *last, make_membership("n0", "n1"), offset, data, done)
    return node.step(follower, events.Received("n0", "initial", msg), 0.0)


def restored_snapshots(step_outputs):
    return [output for output in step_outputs if isinstance(output, outputs.RestoreSnapshot)]


def committed_entries(step_outputs):
    return [
        entry
        for output in step_outputs
        if isinstance(output, outputs.Commit)
        for entry in output.entries
    ]


def test_single_replica_waits_for_its_saves():
    """Guards against a term or commit that is lost when the only replica crashes."""
    single_node = make_follower(membership=make_membership("n1"))
    deliver_append(single_node, (0, 0))
    node.step(single_node, events.Tick(), 5.0)
    node.step(single_node, events.Saved(1), 5.0)
    assert not node.is_leader(single_node)
    node.step(single_node, events.Saved(2), 5.0)
    assert node.is_leader(single_node)
    step_outputs = node.step(single_node, events.Propose("p", b""), 5.0)
    assert not committed_entries(step_outputs) and single_node.commit_index == 0
    assert [
        entry.index for entry in committed_entries(node.step(single_node, events.Saved(4), 5.0))
    ] == [1, 2]


def test_delayed_append_does_not_truncate_log():
    """Guards against a delayed message that truncates acknowledged entries."""
    follower = make_follower()
    deliver_append(follower, (0, 0), [(1, 9), (2, 9)])
    deliver_append(follower, (0, 0), [(1, 9)])
    assert follower.log.last_index == 2


def test_commits_only_entries_matched_by_leader():
    """Guards against committing entries of an earlier leader that only this follower has."""
    follower = make_follower([(1, 1), (2, 1)])
    step_outputs, _ = deliver_append(follower, (1, 1), commit=2)
    assert [entry.index for entry in committed_entries(step_outputs)] == [1]


def test_snapshot_keeps_only_matching_log():
    """Guards against losing acknowledged entries and against keeping diverged entries."""
    matching, diverged = make_follower([(1, 1)]), make_follower([(1, 1), (2, 1), (3, 1), (4, 1)])
    deliver_append(matching, (1, 1), [(2, 2), (3, 2), (4, 2)])
    for follower in (matching, diverged):
        assert restored_snapshots(deliver_chunk(follower, 0, b"state", True))
    assert (matching.log.last_index, matching.log.last_term) == (4, 2)
    assert (diverged.log.last_index, diverged.log.last_term) == (3, 2)


def test_snapshot_reply_waits_for_save():
    """Guards against acknowledging a snapshot before it is durable."""
    follower = make_follower()
    assert sent_replies(deliver_chunk(follower, 0, b"state", True)) == []
    assert sent_replies(node.step(follower, events.Saved(1), 0.0))[-1].done


def test_chunks_from_two_leaders_are_not_mixed():
    """Guards against a snapshot assembled from two encodings or from a duplicated chunk."""
    follower = make_follower()
    deliver_chunk(follower, 0, b"old", False, term=9)
    deliver_chunk(follower, 0, b"new", False, term=10)
    deliver_chunk(follower, 0, b"new", False, term=10)
    (output,) = restored_snapshots(deliver_chunk(follower, 3, b"er", True, term=10))
    assert output.data == b"newer"


def test_membership_follows_log():
    """Guards against a truncated membership that stays in effect, or losing a retained one."""
    encoded_membership = codec.encode(make_membership("n0", "n1"))
    entries = (
        messages.Entry(1, 9, "noop", b""),
        messages.Entry(2, 9, "membership", encoded_membership),
    )
    follower = make_follower()
    msg = messages.Append(9, 0, 0, 0, 1, entries)
    node.step(follower, events.Received("n0", "initial", msg), 0.0)
    assert len(follower.membership.replicas) == 2
    snapshot = messages.InstallSnapshot(9, 1, 9, make_membership("n0", "n1", "n2"), 0, b"s", True)
    node.step(follower, events.Received("n0", "initial", snapshot), 0.0)
    assert len(follower.membership.replicas) == 2
    deliver_append(follower, (1, 9), [(2, 10)], term=10)
    assert len(follower.membership.replicas) == 3


def test_read_waits_for_commit_of_current_term():
    """Guards against a stale read at a new leader that does not know the last commit yet."""
    cluster = driver.Cluster(3)
    old_leader = cluster.elect()
    cluster.run(5)
    cluster.partitioned.add(old_leader)
    new_leader = cluster.elect()
    leader_node = cluster.replicas[new_leader].node
    assert leader_node.log.term_at(leader_node.commit_index) != leader_node.term
    cluster.read(new_leader)
    cluster.run(5, sync=0.0)
    assert not any(isinstance(output, outputs.ReadReady) for output in cluster.results)


def test_changes_that_wait_for_a_majority_are_bounded_by_bytes():
    """Operators send a change again and again while there is no majority."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.partitioned = set(cluster.replicas) - {leader}
    data = bytes(1024 * 1024)
    results = []
    for number in range(100):
        results += cluster.step(leader, events.Propose(str(number), data))
    accepted = sum(isinstance(result, outputs.Proposed) for result in results)
    rejected = [result for result in results if isinstance(result, outputs.Rejected)]
    assert 0 < accepted <= replication.MAX_UNCOMMITTED_BYTES // len(data) + 1
    assert {result.reason for result in rejected} == {"overloaded"}
