"""Guards against a leader that loses leadership while it writes a large snapshot."""

from oriolelock.control import snapshot_policy

MB = 1_000_000


def test_leader_takes_a_small_snapshot_itself():
    policy = snapshot_policy.SnapshotPolicy(100, 50, 0)
    assert not policy.is_due(149)
    assert policy.is_due(150)
    assert not policy.should_transfer(0.0)


def test_large_snapshots_are_rare_and_the_leader_transfers_first():
    policy = snapshot_policy.SnapshotPolicy(100, 0, 0)
    policy.record_snapshot(1_000, 102_400_000, 0.9)
    assert not policy.is_due(100_999)
    assert policy.is_due(101_000)
    assert policy.should_transfer(5.0)


def test_leader_without_a_successor_takes_the_snapshot_after_the_timeout():
    policy = snapshot_policy.SnapshotPolicy(100, 0, 60 * MB)
    assert policy.should_transfer(5.0)
    assert policy.should_transfer(7.9)
    assert not policy.should_transfer(8.0)
    policy.record_snapshot(200_000, 60 * MB, 1.0)
    assert policy.should_transfer(20.0)


def test_failed_snapshot_is_retried_later():
    policy = snapshot_policy.SnapshotPolicy(100, 0, 0)
    policy.postpone(120)
    assert not policy.is_due(219)
    assert policy.is_due(220)


def test_leader_transfers_again_after_a_snapshot_that_failed():
    """The attempt to transfer before the one that failed must not count for the next."""
    policy = snapshot_policy.SnapshotPolicy(100, 0, 60 * MB)
    assert policy.should_transfer(5.0)
    assert not policy.should_transfer(8.0)
    policy.postpone(120)
    assert policy.should_transfer(60.0)


def test_replica_that_has_transferred_takes_the_snapshot_and_asks_no_further_one():
    """Leadership moves once for each snapshot that is due, not from one replica to the next."""
    first, second = (snapshot_policy.SnapshotPolicy(100, 0, 60 * MB) for _ in range(2))
    due = 60 * MB // snapshot_policy.SNAPSHOT_BYTES_PER_ENTRY + 1
    assert first.is_due(due) and second.is_due(due)
    # The follower takes its own at the same index, before it is asked to lead.
    second.record_snapshot(due, 60 * MB, 1.0)
    assert first.should_transfer(5.0)
    first.record_snapshot(due, 60 * MB, 1.0)
    assert not second.is_due(due + 1)
    assert not first.is_due(due + 1)
