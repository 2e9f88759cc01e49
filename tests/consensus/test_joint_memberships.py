"""
tests.consensus.test_joint_memberships
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Voters that are replaced by way of a joint membership, with losses at any moment in between.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from oriolelock.consensus import events, messages, node, quorum
from oriolelock.wire import codec
from tests.consensus import driver, load, simulated, test_replacement

SETTINGS = simulated.GroupSettings(election_min_s=1.0, election_max_s=2.0, min_voters=3)
CATCH_UP_S = 4.0
COMMIT_S = 4.0
RECOVERY_S = 15.0
# The steps of an exchange are spread over some hundred milliseconds each.
SLOW = {"delay": 0.5, "sync": 0.4}
RANDOM = hypothesis.settings(simulated.RANDOM, max_examples=60)


def replicas(names, voter=True):
    return tuple(messages.Replica(name, "i", voter) for name in names)


def joint(old, new):
    """Return the joint membership on the way from some voters to others."""
    outgoing = replicas([name for name in old if name not in new], voter=False)
    return messages.Membership((*replicas(new), *outgoing), replicas(old))


def voters(cluster):
    membership = cluster.replicas[cluster.leader()].node.membership
    return {replica.name for replica in quorum.new_voters(membership)}


def is_joint(cluster):
    return any(quorum.is_joint(item.node.membership) for item in cluster.replicas.values())


def start_swap(size, seed, client_rates):
    """Return a cluster in which a follower has just been frozen and its successor started."""
    cluster = driver.Cluster(size, seed, SETTINGS)
    client = load.Load(cluster, COMMIT_S)
    client.run_for(CATCH_UP_S)
    frozen = sorted(cluster.replicas.keys() - {cluster.leader()})[0]
    cluster.replicas[frozen].suspended = True
    client.run_for(0.4)
    cluster.add("successor")
    client.run_for(0.1, **client_rates)
    return cluster, client, frozen


def wait_for_change_of_voters(cluster, client):
    before = {name: item.node.membership for name, item in cluster.replicas.items()}
    for _ in range(60):
        client.step(**SLOW)
        for name, item in cluster.replicas.items():
            if quorum.voters(item.node.membership) != quorum.voters(before[name]):
                return


def lose_disk(cluster, client, name, down_s):
    cluster.remove(name)
    client.run_for(down_s)
    cluster.add(name)


@RANDOM
@hypothesis.given(
    size=st.sampled_from([3, 5]),
    seed=st.integers(0, 2**32),
    victim=st.sampled_from(["leader", "other", "successor"]),
    loss_steps=st.integers(0, 12),
    down_s=st.floats(0.2, 3.0),
    thaw_s=st.floats(0.0, 6.0),
)
def test_any_disk_may_be_lost_at_any_moment_of_a_replacement(
    size, seed, victim, loss_steps, down_s, thaw_s
):
    """Guards against a group without a majority among the disks that remain."""
    cluster, client, frozen = start_swap(size, seed, SLOW)
    wait_for_change_of_voters(cluster, client)
    client.run_for(loss_steps * driver.STEP_S, **SLOW)
    leader = cluster.leader() or sorted(cluster.replicas.keys() - {frozen, "successor"})[0]
    others = sorted(cluster.replicas.keys() - {frozen, "successor", leader})
    lost = {"leader": leader, "other": others[0], "successor": "successor"}[victim]
    lose_disk(cluster, client, lost, down_s)
    client.run_for(thaw_s, **SLOW)
    cluster.replicas[frozen].suspended = False
    client.run_for(RECOVERY_S)
    client.assert_serving()
    assert not is_joint(cluster)


@RANDOM
@hypothesis.given(
    size=st.sampled_from([3, 5]),
    seed=st.integers(0, 2**32),
    loss_steps=st.integers(0, 12),
    restarts=st.lists(st.floats(0.05, 1.0), min_size=1, max_size=4),
)
def test_all_processes_may_end_at_any_moment_of_a_replacement(size, seed, loss_steps, restarts):
    """Guards against a joint membership that no later leader ends."""
    cluster, client, _ = start_swap(size, seed, SLOW)
    wait_for_change_of_voters(cluster, client)
    client.run_for(loss_steps * driver.STEP_S, **SLOW)
    for pause_s in restarts:
        for name in list(cluster.replicas):
            cluster.crash(name)
        client.run_for(pause_s, **SLOW)
    client.run_for(RECOVERY_S)
    client.assert_serving()
    assert not is_joint(cluster)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("knows_links", [True, False])
def test_a_successor_that_is_lost_in_the_middle_of_its_replacement_blocks_nothing(
    seed, knows_links
):
    """Guards against a majority that needs a successor that is gone, beside its predecessor."""
    cluster = driver.Cluster(3, seed, SETTINGS)
    cluster.knows_links = knows_links
    client = load.Load(cluster, COMMIT_S)
    client.run_for(CATCH_UP_S)
    gone = sorted(cluster.replicas.keys() - {cluster.leader()})[0]
    cluster.remove(gone)
    cluster.add("successor")
    for _ in range(200):
        client.step(**SLOW)
        if is_joint(cluster):
            break
    assert is_joint(cluster)
    cluster.remove("successor")
    client.run_for(RECOVERY_S)
    client.assert_serving()
    assert not is_joint(cluster)
    cluster.add("another")
    client.run_for(RECOVERY_S)
    client.assert_serving()
    assert "another" in voters(cluster) and gone not in voters(cluster)


@pytest.mark.parametrize("seed", range(5))
def test_a_voter_that_returns_in_the_middle_of_its_replacement_keeps_its_vote(seed):
    """Guards against a vote that is given away while its owner replies."""
    cluster, client, frozen = start_swap(3, seed, SLOW)
    for _ in range(200):
        client.step(**SLOW)
        if is_joint(cluster):
            break
    leader = cluster.replicas[cluster.leader()]
    assert quorum.is_joint(leader.node.membership)
    cluster.replicas[frozen].suspended = False
    # The change does not end before the voter has replied.
    cluster.sides = {name: 1 for name in cluster.replicas if name not in (frozen, leader.name)}
    cluster.run(3)
    cluster.sides = {}
    client.run_for(3.0)
    assert frozen in voters(cluster)
    client.run_for(RECOVERY_S)
    client.assert_serving()
    assert {frozen, "successor"} <= voters(cluster)
    memberships = [m for _, m in cluster.replicas[cluster.leader()].node.memberships]
    assert all(frozen in {r.name for r in quorum.voters(m)} for m in memberships if m.replicas)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("old_builds", [{"n0"}, {"n0", "n1", "n2"}, {"successor"}])
def test_members_of_an_older_build_get_no_joint_membership(seed, old_builds):
    cluster = driver.Cluster(3, seed, SETTINGS)
    cluster.old_builds = old_builds
    client = load.Load(cluster, COMMIT_S)
    client.run_for(CATCH_UP_S)
    cluster.replace(sorted(cluster.replicas.keys() - {cluster.leader()})[0], "successor", 1.0)
    for _ in range(100):
        client.step()
        assert not is_joint(cluster)
    client.assert_serving()
    assert "successor" in voters(cluster) and len(voters(cluster)) == 3


@pytest.mark.parametrize(
    ("voters", "learners", "silent_s", "knows_joint", "expected"),
    [
        ("ab", "x", {"a": 1.5}, "abx", [(events.Replace, "a")]),
        # A lost voter that has not been heard of since the start need not be known.
        ("ab", "x", {"a": 1.5}, "bx", [(events.Replace, "a")]),
        ("abcd", "xy", {"a": 1.5, "b": 3.0}, "abcdxy", [(events.Replace, "b")]),
        # Another member may not know the change.
        ("ab", "x", {"a": 1.5}, "ax", [(events.Remove, "a")]),
        ("ab", "x", {"a": 1.5}, "ab", [(events.Remove, "a")]),
        # A group of even size survives as many losses without the lost voter.
        ("abc", "x", {"a": 1.5}, "abcx", [(events.Remove, "a")]),
        ("ab", "x", {}, "abx", [(events.Promote, "x")]),
        ("ab", "x", {"a": 0.9}, "abx", [(events.Promote, "x")]),
    ],
)
def test_a_lost_voter_is_replaced_in_one_step_if_all_know_how(
    voters, learners, silent_s, knows_joint, expected
):
    leader = test_replacement.make_leader(voters, learners, silent_s)
    known = dict.fromkeys(knows_joint, True)
    assert test_replacement.requested(leader, knows_joint=known) == expected


def test_a_lost_voter_of_a_build_that_does_not_know_the_change_is_removed():
    leader = test_replacement.make_leader("ab", "x", {"a": 1.5})
    known = {"a": False, "b": True, "x": True}
    assert test_replacement.requested(leader, knows_joint=known) == [(events.Remove, "a")]


def settlement(silent_s, has_replied=True, leading_since_s=test_replacement.LEADING_SINCE_S):
    leader = test_replacement.make_leader("abx", "", {"a": silent_s}, leading_since_s)
    leader.memberships = [(1, joint(["own", "a", "b"], ["own", "b", "x"]))]
    leader.progress["a"].has_replied = has_replied
    found = test_replacement.plan(leader)
    return [change.event for change in found.changes]


@pytest.mark.parametrize(
    ("silent_s", "has_replied", "leading_since_s", "expected"),
    [
        (1.5, True, 50.0, [events.Remove("a")]),
        (20.0, False, 50.0, [events.Remove("a")]),
        (0.1, True, 50.0, [events.Restore("a")]),
        # A new leader does not know yet whether the voter lives.
        (0.1, False, 99.9, []),
    ],
)
def test_a_joint_membership_ends_by_whether_the_outgoing_voter_replies(
    silent_s, has_replied, leading_since_s, expected
):
    assert settlement(silent_s, has_replied, leading_since_s) == expected


def test_an_outgoing_voter_that_leads_keeps_its_vote():
    leader = test_replacement.make_leader("bx", "")
    leader.memberships = [(1, joint(["own", "a", "b"], ["a", "b", "x"]))]
    assert [c.event for c in test_replacement.plan(leader).changes] == [events.Restore("own")]


@pytest.mark.parametrize(
    ("reached", "expected"),
    [("lb", 1), ("lf", 0), ("bx", 0), ("fbx", 1), ("lx", 0), ("fb", 0), ("lfx", 1)],
)
def test_decisions_in_a_joint_membership_need_both_majorities(reached, expected):
    membership = joint("lfb", "lbx")
    assert quorum.majority_value(membership, lambda r: int(r.name in reached)) == expected
    assert {r.name for r in quorum.voters(membership)} == set("lfbx")
    assert [r.name for r in quorum.outgoing_voters(membership)] == ["f"]


def test_no_other_change_begins_before_a_joint_membership_ends():
    leader = test_replacement.make_leader("abx", "")
    leader.memberships = [(1, joint(["own", "a", "b"], ["own", "b", "x"]))]
    for change in (events.AddLearner(messages.Replica("new", "i", False)), events.Remove("b")):
        assert not leader_accepts(leader, change)
    assert leader_accepts(leader, events.Remove("a"))


def leader_accepts(leader, event):
    before = leader.memberships[-1]
    node.step(leader, event, test_replacement.NOW)
    return leader.memberships[-1] != before


def test_plain_memberships_are_encoded_as_before():
    """Guards against records that builds without joint memberships refuse."""
    plain = codec.to_plain(messages.Membership(replicas("a")))
    assert plain == ["membership", [["replica", "a", "i", True]]]


def test_a_build_without_joint_memberships_reads_the_new_voters():
    """Such a build ignores further fields; the outgoing voter is a learner to it."""
    plain = codec.to_plain(joint("ab", "bc"))
    assert [(r[1], r[3]) for r in plain[1]] == [("b", True), ("c", True), ("a", False)]
    assert codec.from_plain(plain) == joint("ab", "bc")
