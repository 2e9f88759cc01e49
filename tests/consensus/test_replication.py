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
    replication,
    snapshots,
    stored,
)
from oriolelock.wire import codec
from tests.consensus import driver


def appends(cluster, target):
    msgs = [item[3] for item in cluster.network if item[2] == target]
    return [msg for msg in msgs if isinstance(msg, messages.Append) and msg.entries]


def make_group(*names):
    return messages.Membership(tuple(messages.Replica(name, "initial", True) for name in names))


def follower(entries=(), group=None):
    """Return a follower n1 with these (index, term) on its disk."""
    group = make_group("n0", "n1", "n2") if group is None else group
    held = tuple(messages.Entry(index, term, "command", b"") for index, term in entries)
    disk = stored.Stored(entries[-1][1] if entries else 0, "", 0, 0, group, held, b"")
    return node.make(node_settings.NodeSettings("n1", "initial"), disk, 0.0, random.Random(0))


def append(item, prev, entries=(), term=9, commit=0):
    held = tuple(messages.Entry(index, entry_term, "command", b"") for index, entry_term in entries)
    msg = messages.Append(term, *prev, commit, 1, held)
    outs = node.step(item, events.Received("n0", "initial", msg), 0.0)
    numbers = [out.number for out in outs if isinstance(out, outputs.Save)]
    return outs, numbers[0] if numbers else 0


def replies(outs):
    return [out.msg for out in outs if isinstance(out, outputs.Send)]


def test_acknowledges_only_what_is_saved():
    """Guards against a majority that exists only in memory."""
    item = follower([(1, 1)])
    outs, first = append(item, (1, 1))
    assert replies(outs) == []
    outs = node.step(item, events.Saved(first), 0.0)
    assert replies(outs) == [messages.AppendReply(9, True, 1, 1)]
    outs, number = append(item, (1, 1), [(2, 9)])
    assert replies(outs) == [messages.AppendReply(9, True, 1, 1)]
    outs = node.step(item, events.Saved(number), 0.0)
    assert replies(outs) == [messages.AppendReply(9, True, 2, 1)]


def test_drops_acknowledgement_of_an_earlier_term():
    """Guards against acknowledging an entry that a later leader has replaced."""
    item = follower()
    _, one = append(item, (0, 0), [(1, 9)], term=9)
    _, two = append(item, (0, 0), [(1, 10)], term=10)
    assert replies(node.step(item, events.Saved(one), 0.0)) == []
    outs = node.step(item, events.Saved(two), 0.0)
    assert {msg.term for msg in replies(outs)} == {10}


def test_truncated_entry_is_not_durable():
    """Guards against counting the save of an entry that was replaced since."""
    item = follower([(1, 1), (2, 1)])
    append(item, (2, 1), [(3, 9)], term=9)
    append(item, (1, 1), [(2, 10)], term=10)
    assert item.durable_index == 1
    node.step(item, events.Saved(1), 0.0)
    assert item.durable_index == 1
    node.step(item, events.Saved(2), 0.0)
    assert item.durable_index == 2


def test_backs_up_over_a_whole_term():
    """Guards against one round trip for each conflicting entry."""
    item = follower([(1, 1), *((index, 2) for index in range(2, 100))])
    outs, number = append(item, (90, 3))
    outs = node.step(item, events.Saved(number), 0.0)
    assert replies(outs) == [messages.AppendReply(9, False, 1, 1)]


def test_commit_needs_an_entry_of_the_own_term():
    """Guards against committing an entry that a later leader may still replace (figure 8)."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    item = cluster.replicas[leader].node
    item.term += 1
    entry = messages.AppendReply(item.term, True, 1, 1)
    other = next(name for name in cluster.replicas if name != leader)
    item.commit = 0
    cluster.step(leader, events.Received(other, "initial", entry))
    assert item.commit == 0


def test_window_and_message_size_are_bounded(monkeypatch):
    """Guards against a slow follower that exhausts the leader's memory or link."""
    monkeypatch.setattr(replication, "MAX_MESSAGE_BYTES", 1000)
    monkeypatch.setattr(replication, "MAX_IN_FLIGHT", 4)
    monkeypatch.setattr(replication, "MAX_UNCOMMITTED_ENTRIES", 200)
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    for _ in range(300):
        cluster.step(leader, events.Propose("p", b"x" * 60))
    assert cluster.results[-1].reason == "overloaded"
    assert all(len(appends(cluster, name)) <= 4 for name in cluster.replicas if name != leader)
    cluster.run_until(lambda: min(item.applied for item in cluster.replicas.values()) > 200)


def test_full_disks_leave_reads_working():
    """Guards against reads that fail although only new entries cannot be stored."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    cluster.propose(leader)
    cluster.run(30, sync=0.0)
    request_id = cluster.read(leader)
    cluster.run(5, sync=0.0)
    assert any(
        isinstance(out, outputs.ReadReady) and out.request_id == request_id
        for out in cluster.results
    )


def test_new_leader_reads_after_its_first_commit():
    """Guards against a read that misses entries that the former leader committed."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    assert cluster.replicas[leader].node.commit == 0
    cluster.read(leader)
    cluster.run(10)
    ready = [out for out in cluster.results if isinstance(out, outputs.ReadReady)]
    assert [out.index for out in ready] == [1]


def test_snapshot_reaches_a_follower_in_chunks(monkeypatch):
    """Guards against a follower that stays behind once the log it needs is cut."""
    monkeypatch.setattr(snapshots, "KEPT_ENTRIES", 2)
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 5)
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    behind = next(name for name in cluster.replicas if name != leader)
    cluster.cut.add(behind)
    for _ in range(20):
        cluster.propose(leader)
        cluster.run()
    cluster.snapshot(leader)
    assert cluster.replicas[leader].node.log.base_index >= 15
    cluster.cut.clear()
    cluster.run_until(lambda: cluster.replicas[behind].applied == cluster.replicas[leader].applied)
    assert cluster.replicas[behind].disk.snapshot_index >= 15
    cluster.crash(behind)
    cluster.run(10)
    assert cluster.replicas[behind].applied == cluster.replicas[leader].applied


def test_slow_follower_is_served_from_the_kept_log():
    """Guards against a whole snapshot for a follower that lacks a few entries."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    behind = next(name for name in cluster.replicas if name != leader)
    cluster.cut.add(behind)
    for _ in range(20):
        cluster.propose(leader)
        cluster.run()
    cluster.snapshot(leader)
    cluster.cut.clear()
    cluster.run(10)
    assert cluster.replicas[behind].applied == cluster.replicas[leader].applied
    assert cluster.replicas[behind].disk.snapshot_index == 0


def install(item, offset, data, done, term=9, last=(3, 2)):
    msg = messages.InstallSnapshot(term, *last, make_group("n0", "n1"), offset, data, done)
    return node.step(item, events.Received("n0", "initial", msg), 0.0)


def restored(outs):
    return [out for out in outs if isinstance(out, outputs.RestoreSnapshot)]


def committed(outs):
    return [entry for out in outs if isinstance(out, outputs.Commit) for entry in out.entries]


def test_single_replica_waits_for_its_own_disk():
    """Guards against a term, or a commit, that a crash of the only replica forgets."""
    item = follower(group=make_group("n1"))
    append(item, (0, 0))
    node.step(item, events.Tick(), 5.0)
    node.step(item, events.Saved(1), 5.0)
    assert not node.is_leader(item)
    node.step(item, events.Saved(2), 5.0)
    assert node.is_leader(item)
    outs = node.step(item, events.Propose("p", b""), 5.0)
    assert not committed(outs) and item.commit == 0
    assert [entry.index for entry in committed(node.step(item, events.Saved(4), 5.0))] == [1, 2]


def test_delayed_append_removes_nothing():
    """Guards against an old message that truncates acknowledged entries."""
    item = follower()
    append(item, (0, 0), [(1, 9), (2, 9)])
    append(item, (0, 0), [(1, 9)])
    assert item.log.last_index == 2


def test_commits_only_what_the_leader_has_compared():
    """Guards against committing a follower's leftover entries of another leader."""
    item = follower([(1, 1), (2, 1)])
    outs, _ = append(item, (1, 1), commit=2)
    assert [entry.index for entry in committed(outs)] == [1]


def test_snapshot_keeps_a_matching_log_only():
    """Guards against lost acknowledged entries, and against entries of another history."""
    same, other = follower([(1, 1)]), follower([(1, 1), (2, 1), (3, 1), (4, 1)])
    append(same, (1, 1), [(2, 2), (3, 2), (4, 2)])
    for item in (same, other):
        assert restored(install(item, 0, b"state", True))
    assert (same.log.last_index, same.log.last_term) == (4, 2)
    assert (other.log.last_index, other.log.last_term) == (3, 2)


def test_snapshot_reply_waits_for_the_disk():
    """Guards against a snapshot that counts before it is stored."""
    item = follower()
    assert replies(install(item, 0, b"state", True)) == []
    assert replies(node.step(item, events.Saved(1), 0.0))[-1].done


def test_chunks_of_two_leaders_do_not_mix():
    """Guards against a state made of two encodings, or of a chunk that came twice."""
    item = follower()
    install(item, 0, b"old", False, term=9)
    install(item, 0, b"new", False, term=10)
    install(item, 0, b"new", False, term=10)
    (out,) = restored(install(item, 3, b"er", True, term=10))
    assert out.data == b"newer"


def test_memberships_follow_the_log():
    """Guards against a truncated membership that stays in force, or a kept one that is lost."""
    small = codec.encode(make_group("n0", "n1"))
    entries = (messages.Entry(1, 9, "noop", b""), messages.Entry(2, 9, "membership", small))
    item = follower()
    msg = messages.Append(9, 0, 0, 0, 1, entries)
    node.step(item, events.Received("n0", "initial", msg), 0.0)
    assert len(item.membership.replicas) == 2
    snapshot = messages.InstallSnapshot(9, 1, 9, make_group("n0", "n1", "n2"), 0, b"s", True)
    node.step(item, events.Received("n0", "initial", snapshot), 0.0)
    assert len(item.membership.replicas) == 2
    append(item, (1, 9), [(2, 10)], term=10)
    assert len(item.membership.replicas) == 3


def test_read_waits_for_a_commit_of_the_own_term():
    """Guards against a read at a new leader that has not learned the last commit."""
    cluster = driver.Cluster(3)
    old = cluster.elect()
    cluster.run(5)
    cluster.cut.add(old)
    new = cluster.elect()
    item = cluster.replicas[new].node
    assert item.log.term_at(item.commit) != item.term
    cluster.read(new)
    cluster.run(5, sync=0.0)
    assert not any(isinstance(out, outputs.ReadReady) for out in cluster.results)
