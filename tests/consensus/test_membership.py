"""
tests.consensus.test_membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~
"""

import pytest

from oriolelock.consensus import events, messages, node, outputs, quorum
from tests.consensus import driver


def started(size=3):
    cluster = driver.Cluster(size)
    leader = cluster.elect()
    cluster.run(5)
    return cluster, leader, [name for name in sorted(cluster.replicas) if name != leader]


def voters(cluster, name):
    return {item.name for item in quorum.voters(cluster.replicas[name].node.membership)}


def is_repaired(cluster, leader, *names):
    """Return whether the present incarnations of these replicas are committed as voters."""
    item = cluster.replicas[leader].node
    group = node.snapshot_position(item, item.commit)[1]
    return all(quorum.is_voter(group, x, cluster.replicas[x].incarnation) for x in names)


def commits(cluster, steps=60):
    """Return whether a proposal is committed within ``steps``."""
    last = max(cluster.committed)
    for _ in range(steps):
        if cluster.leader():
            cluster.propose(cluster.leader())
        cluster.run()
    return any(item.kind == "command" for at, item in cluster.committed.items() if at > last)


def reasons(cluster):
    return [out.reason for out in cluster.results if isinstance(out, outputs.Rejected)]


def test_replaced_disk_helps_no_majority():
    """Guards against commits and elections by replicas that have forgotten their log."""
    cluster, leader, (one, two) = started()
    cluster.cut.add(one)
    cluster.lose_disk(two)
    assert not commits(cluster)
    cluster.crash(leader)
    cluster.run(100)
    assert cluster.leader() is None


def test_replaced_disk_is_admitted_by_name_and_incarnation():
    """Guards against a lost disk that stays out, or votes before it has caught up."""
    cluster, leader, (one, _) = started()
    cluster.lose_disk(one)
    incarnation = cluster.replicas[one].incarnation
    cluster.run(5)
    assert node.unadmitted(cluster.replicas[leader].node) == {one: incarnation}
    cluster.step(leader, events.AddLearner(messages.Replica(one, incarnation, True)))
    assert one not in voters(cluster, leader)
    cluster.step(leader, events.Promote(one))
    assert reasons(cluster)[-1] in ("not-caught-up", "change-in-progress")
    cluster.run_until(lambda: is_repaired(cluster, leader, one))
    assert node.unadmitted(cluster.replicas[leader].node) == {}


def test_second_loss_right_after_a_repair():
    """Guards against a commit that only a replica without its log has acknowledged."""
    cluster, leader, (one, two) = started()
    for _ in range(20):
        cluster.propose(leader)
    cluster.run(5)
    known = max(cluster.committed)
    cluster.lose_disk(one)
    cluster.run_until(lambda: is_repaired(cluster, leader, one))
    cluster.run(5)
    cluster.lose_disk(two)
    cluster.run_until(lambda: is_repaired(cluster, leader, two))
    cluster.run(5)
    cluster.lose_disk(leader)
    cluster.run_until(lambda: cluster.leader() in (one, two))
    assert commits(cluster)
    assert cluster.replicas[cluster.leader()].applied > known


def test_learner_and_stranger_never_campaign():
    """Guards against replicas without a vote that raise terms or lead."""
    cluster, leader, (one, _) = started()
    cluster.lose_disk(one)
    cluster.run(5)
    replica = messages.Replica(one, cluster.replicas[one].incarnation, False)
    cluster.step(leader, events.AddLearner(replica))
    cluster.run(5)
    cluster.cut.add(one)
    term = cluster.replicas[one].node.term
    cluster.run(100)
    assert cluster.replicas[one].node.term == term
    assert not any(isinstance(item[3], messages.PreVote) for item in cluster.network)


def test_one_change_at_a_time():
    """Guards against two changes whose majorities do not overlap."""
    cluster, leader, (one, two) = started(3)
    cluster.step(leader, events.Remove(one))
    cluster.step(leader, events.Remove(two))
    assert reasons(cluster)[-1] == "change-in-progress"
    cluster.run(5)
    cluster.step(leader, events.Remove(two))
    cluster.run(5)
    assert voters(cluster, leader) == {leader}
    cluster.step(leader, events.Remove(leader))
    assert reasons(cluster)[-1] == "last-voter"


def test_new_leader_waits_for_its_own_commit():
    """Guards against a change that overlaps one of an earlier term (Ongaro, 2015)."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    assert cluster.replicas[leader].node.commit == 0
    cluster.step(leader, events.Remove(next(n for n in cluster.replicas if n != leader)))
    assert reasons(cluster)[-1] == "not-ready"


def test_leader_hands_over_before_its_removal():
    """Guards against a removed leader whose followers lack the last entries: none could lead."""
    cluster, leader, others = started()
    cluster.step(leader, events.Remove(leader))
    assert reasons(cluster)[-1] == "transferring"
    assert leader in voters(cluster, leader)
    cluster.run_until(lambda: cluster.leader() in others)
    cluster.run(5)
    new = cluster.leader()
    term = cluster.replicas[new].node.term
    cluster.step(new, events.Remove(leader))
    assert commits(cluster)
    assert voters(cluster, new) == set(others)
    assert (cluster.leader(), cluster.replicas[new].node.term) == (new, term)


@pytest.mark.parametrize("lost", [1, 2])
def test_group_of_five_repairs_itself(lost):
    """Guards against standstill while a majority of disks is intact."""
    cluster, leader, others = started(5)
    for name in others[:lost]:
        cluster.lose_disk(name)
    cluster.run_until(lambda: is_repaired(cluster, leader, *others))
    assert commits(cluster)


def test_promotion_waits_for_catch_up():
    """Guards against a voter that has no log yet and halts commits."""
    cluster, leader, (one, _) = started()
    cluster.step(leader, events.Remove(one))
    cluster.run(5)
    cluster.cut.add(one)
    cluster.step(leader, events.AddLearner(messages.Replica(one, "other", False)))
    cluster.run(5)
    cluster.step(leader, events.Promote(one))
    assert reasons(cluster)[-1] == "not-caught-up"
