"""
tests.consensus.test_majorities
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The checks of the simulated cluster notice what they are there for.
"""

import itertools

import pytest

from oriolelock.consensus import quorum
from tests.consensus import driver, majorities


def subsets(names):
    return [
        frozenset(chosen)
        for count in range(len(names) + 1)
        for chosen in itertools.combinations(names, count)
    ]


def majorities_of(names):
    return [chosen for chosen in subsets(names) if len(chosen) > len(names) // 2]


def test_overlap_is_that_of_all_majorities():
    """Guards against a check that accepts memberships with disjoint majorities."""
    for left, right in itertools.product(subsets("abcde"), repeat=2):
        if left and right:
            pairs = itertools.product(majorities_of(left), majorities_of(right))
            assert majorities.overlap(left, right) == all(one & other for one, other in pairs)


def commit_with_one_learner():
    """Let a leader reach a learner only, of one other voter and the learner."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    voter, learner = sorted(cluster.replicas.keys() - {leader})
    cluster.lose_disk(learner)
    cluster.run_until(
        lambda: not quorum.find(cluster.replicas[leader].node.membership, learner).voter
    )
    cluster.partitioned.add(voter)
    cluster.propose(leader)
    cluster.run(10)


def test_learner_is_not_counted():
    """Guards against a check that fails where the protocol is kept."""
    commit_with_one_learner()


def test_counted_learner_is_noticed(monkeypatch):
    """Guards against a check that accepts commits by learners."""
    monkeypatch.setattr(quorum, "new_voters", lambda membership: membership.replicas)
    with pytest.raises(AssertionError, match="commit without a majority"):
        commit_with_one_learner()


def test_leader_of_a_minority_is_noticed(monkeypatch):
    """Guards against a check that accepts any leader."""
    monkeypatch.setattr(
        quorum,
        "majority_value",
        lambda membership, value_of: max(map(value_of, membership.replicas)),
    )
    with pytest.raises(AssertionError, match="leader without a majority"):
        driver.Cluster(5).elect()
