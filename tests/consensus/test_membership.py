"""
tests.consensus.test_membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~
"""

import pytest

from oriolelock.consensus import events, messages, node, outputs, quorum
from tests.consensus import driver


def start_cluster(size=3):
    cluster = driver.Cluster(size)
    leader = cluster.elect()
    cluster.run(5)
    return cluster, leader, [name for name in sorted(cluster.replicas) if name != leader]


def voter_names(cluster, name):
    return {replica.name for replica in quorum.voters(cluster.replicas[name].node.membership)}


def is_repaired(cluster, leader, *names):
    """Return whether the current incarnations of these replicas are committed as voters."""
    leader_node = cluster.replicas[leader].node
    membership = node.snapshot_metadata(leader_node, leader_node.commit_index)[1]
    return all(
        quorum.is_voter(membership, name, cluster.replicas[name].incarnation) for name in names
    )


def can_commit(cluster, steps=60):
    """Return whether a command is committed within ``steps`` steps."""
    last_index = max(cluster.committed)
    for _ in range(steps):
        if cluster.leader():
            cluster.propose(cluster.leader())
        cluster.run()
    return any(
        entry.kind == "command" for index, entry in cluster.committed.items() if index > last_index
    )


def rejection_reasons(cluster):
    return [output.reason for output in cluster.results if isinstance(output, outputs.Rejected)]


def test_replica_with_new_disk_counts_in_no_majority():
    """Guards against commits and elections with replicas that have lost their log."""
    cluster, leader, (first, second) = start_cluster()
    cluster.partitioned.add(first)
    cluster.lose_disk(second)
    assert not can_commit(cluster)
    cluster.crash(leader)
    cluster.run(100)
    assert cluster.leader() is None


def test_replica_with_new_disk_rejoins_as_learner():
    """Guards against a replica with a new disk that cannot rejoin, or votes before it caught up."""
    cluster, leader, (first, _) = start_cluster()
    cluster.lose_disk(first)
    incarnation = cluster.replicas[first].incarnation
    cluster.run(5)
    assert node.non_members(cluster.replicas[leader].node) == {first: incarnation}
    cluster.step(leader, events.AddLearner(messages.Replica(first, incarnation, True)))
    assert first not in voter_names(cluster, leader)
    cluster.step(leader, events.Promote(first))
    assert rejection_reasons(cluster)[-1] in ("not-caught-up", "change-in-progress")
    cluster.run_until(lambda: is_repaired(cluster, leader, first))
    assert node.non_members(cluster.replicas[leader].node) == {}


def test_second_disk_loss_right_after_repair():
    """Guards against a commit acknowledged only by a replica that has lost its log."""
    cluster, leader, (first, second) = start_cluster()
    for _ in range(20):
        cluster.propose(leader)
    cluster.run(5)
    last_index = max(cluster.committed)
    cluster.lose_disk(first)
    cluster.run_until(lambda: is_repaired(cluster, leader, first))
    cluster.run(5)
    cluster.lose_disk(second)
    cluster.run_until(lambda: is_repaired(cluster, leader, second))
    cluster.run(5)
    cluster.lose_disk(leader)
    cluster.run_until(lambda: cluster.leader() in (first, second))
    assert can_commit(cluster)
    assert cluster.replicas[cluster.leader()].applied > last_index


def test_non_voters_never_start_elections():
    """Guards against replicas without a vote that raise the term or become leader."""
    cluster, leader, (first, _) = start_cluster()
    cluster.lose_disk(first)
    cluster.run(5)
    replica = messages.Replica(first, cluster.replicas[first].incarnation, False)
    cluster.step(leader, events.AddLearner(replica))
    cluster.run(5)
    cluster.partitioned.add(first)
    term = cluster.replicas[first].node.term
    cluster.run(100)
    assert cluster.replicas[first].node.term == term
    assert not any(isinstance(message[3], messages.PreVote) for message in cluster.network)


def test_rejects_concurrent_changes():
    """Guards against two changes whose majorities do not overlap."""
    cluster, leader, (first, second) = start_cluster(3)
    cluster.step(leader, events.Remove(first))
    cluster.step(leader, events.Remove(second))
    assert rejection_reasons(cluster)[-1] == "change-in-progress"
    cluster.run(5)
    cluster.step(leader, events.Remove(second))
    cluster.run(5)
    assert voter_names(cluster, leader) == {leader}
    cluster.step(leader, events.Remove(leader))
    assert rejection_reasons(cluster)[-1] == "last-voter"


def test_new_leader_rejects_changes_before_its_first_commit():
    """Guards against a change that overlaps one of an earlier term (Ongaro, 2015)."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    assert cluster.replicas[leader].node.commit_index == 0
    cluster.step(leader, events.Remove(next(name for name in cluster.replicas if name != leader)))
    assert rejection_reasons(cluster)[-1] == "not-ready"


def test_leader_transfers_leadership_before_its_removal():
    """Guards against removing a leader whose followers lack its last entries and cannot win."""
    cluster, leader, followers = start_cluster()
    cluster.step(leader, events.Remove(leader))
    assert rejection_reasons(cluster)[-1] == "transferring"
    assert leader in voter_names(cluster, leader)
    cluster.run_until(lambda: cluster.leader() in followers)
    cluster.run(5)
    new_leader = cluster.leader()
    term = cluster.replicas[new_leader].node.term
    cluster.step(new_leader, events.Remove(leader))
    assert can_commit(cluster)
    assert voter_names(cluster, new_leader) == set(followers)
    assert (cluster.leader(), cluster.replicas[new_leader].node.term) == (new_leader, term)


@pytest.mark.parametrize("lost_count", [1, 2])
def test_group_of_five_replaces_lost_disks(lost_count):
    """Guards against a loss of availability while a majority of disks is intact."""
    cluster, leader, followers = start_cluster(5)
    for name in followers[:lost_count]:
        cluster.lose_disk(name)
    cluster.run_until(lambda: is_repaired(cluster, leader, *followers))
    assert can_commit(cluster)


def test_promotion_waits_for_catch_up():
    """Guards against a voter that has no log yet and blocks commits."""
    cluster, leader, (first, _) = start_cluster()
    cluster.step(leader, events.Remove(first))
    cluster.run(5)
    cluster.partitioned.add(first)
    cluster.step(leader, events.AddLearner(messages.Replica(first, "other", False)))
    cluster.run(5)
    cluster.step(leader, events.Promote(first))
    assert rejection_reasons(cluster)[-1] == "not-caught-up"
