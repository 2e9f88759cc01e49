"""Tests that a replica that was removed while it was away is soon a member again.

Guards against a living replica that is no member, believes in a leader, and never asks.
"""

import time

import pytest

from oriolelock.consensus import events
from tests.control import cluster, test_replaced_addresses

replicas = test_replaced_addresses.replicas
# From the return of a replica until it must count again.
CATCH_UP_S = 4.0


def remove(group, number):
    """Have the leader remove a replica, as it does after a long silence."""
    rep = group.running[group.wait_for_leader()].replica
    name = group.name(number)

    def is_removed():
        if name not in rep.member_names():
            return True
        rep._hosts["config"]._event_queue.put(events.Remove(name))
        return False

    cluster.wait_for(is_removed, "the removal")


def wait_until_it_counts(group, number):
    """Wait until a replica votes and answers reads; returns how long that took, in seconds."""
    started_s = time.monotonic()
    rep = group.running[number]
    name = group.name(number)

    def counts():
        leader = group.leader()
        if leader is None or name not in group.running[leader].replica.member_names():
            return False
        return rep.replica.status().voter and rep.operations.read().result(5) is not None

    cluster.wait_for(counts, "a voter that answers reads", CATCH_UP_S)
    return time.monotonic() - started_s


@pytest.mark.parametrize("away_s", [0.0, 3.0])
@pytest.mark.parametrize("is_leader", [False, True])
def test_voter_that_was_removed_while_cut_off_counts_again(replicas, is_leader, away_s):
    group = replicas(5, 5)
    group.wait_for_voters()
    test_replaced_addresses.put(group, 0, 1)
    leader = group.wait_for_leader()
    number = leader if is_leader else next(n for n in group.running if n != leader)
    rejoin = group.cut_off(number)
    cut_off = group.running.pop(number)
    remove(group, number)
    time.sleep(away_s)
    group.running[number] = cut_off
    rejoin()
    wait_until_it_counts(group, number)


def test_learner_that_was_removed_while_cut_off_counts_again(replicas):
    group = replicas(3, 4)
    group.wait_for_voters()
    test_replaced_addresses.put(group, 0, 1)
    leader = group.wait_for_leader()
    number = group.add(is_mute=True)
    rep = group.running[number].replica
    group.running[leader].replica._hosts["config"].admit(group.name(number), rep.incarnation)
    cluster.wait_for(lambda: rep.status().leader, "a leader that the learner knows")
    rejoin = group.cut_off(number)
    remove(group, number)
    assert not rep.status().voter
    rejoin()
    wait_until_it_counts(group, number)
