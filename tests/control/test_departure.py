"""Planned stops of replicas: who gives up its vote."""

import pytest

from oriolelock.consensus import membership
from oriolelock.consensus import messages as consensus_messages
from oriolelock.control import departure, host_status, messages
from tests.control import cluster, test_replaced_addresses, test_seeds

replicas = test_replaced_addresses.replicas


def make_status(is_voter=True, leader="a"):
    return host_status.HostStatus(leader, 1, False, 1, is_voter, 4, False, True)


def make_members(names):
    return consensus_messages.Membership(
        tuple(consensus_messages.Replica(name, "i", True) for name in names)
    )


@pytest.mark.parametrize(
    ("voters", "is_voter", "leader", "expected"),
    [
        ("abcd", True, "a", True),
        ("abcdef", True, "a", True),
        # An odd group keeps a voter that may only be restarted.
        ("abc", True, "a", False),
        ("abcde", True, "a", False),
        # One of the remaining two could not be lost.
        ("ab", True, "a", False),
        # Leadership could not be handed over, or there is nobody to ask.
        ("abcd", True, "d", False),
        ("abcd", True, "", False),
        ("abcd", False, "a", False),
    ],
)
def test_only_a_voter_of_an_even_group_gives_up_its_vote(voters, is_voter, leader, expected):
    status, members = make_status(is_voter, leader), make_members(voters)
    assert departure.may_depart(status, members, "d") is expected


def test_the_request_names_no_living_incarnation_and_is_repeated(tmp_path):
    sent, waits = [], []
    cfg = test_seeds.make_settings(tmp_path, 7001, 7002, (7001,))
    departure.give_up_vote(cfg, "ab", lambda name, msg: sent.append((name, msg)), waits.append)
    request = messages.Join(cfg.name, membership.DEPARTED, cfg.region, cfg.failure_domain)
    assert sent == departure.ATTEMPTS * [("a", request), ("b", request)]
    assert waits == departure.ATTEMPTS * [departure.ATTEMPT_INTERVAL_S]


def test_a_loss_right_after_a_planned_replacement_of_one_in_three(replicas):
    """Guards against a group of four, of which one has stopped, that loses the next one."""
    group = replicas(3, 5)
    group.wait_for_voters()
    planned = group.leader()
    group.add()
    group.wait_for_voters()
    group.stop(planned)
    group.lose(group.wait_for_leader())
    group.wait_for_leader()
    group.add()
    group.wait_for_voters()


def test_a_replica_that_gave_up_its_vote_counts_again_when_it_returns(replicas):
    group = replicas(4, 4)
    group.wait_for_voters()
    stopped = next(number for number in group.running if number != group.leader())
    group.stop(stopped)

    def votes():
        leader = group.running[group.wait_for_leader()].replica
        return [member for member in leader.assess().members if member.voter]

    cluster.wait_for(lambda: len(votes()) == 3, "three voters", 1.0)
    group.restart(stopped, [group.link_address(number)[1] for number in group.running])
    cluster.wait_for(lambda: len(votes()) == 4, "four voters", 4.0)
