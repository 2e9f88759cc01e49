"""
tests.consensus.test_election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~
"""

import pytest

from oriolelock.consensus import events, messages, node, outputs
from tests.consensus import driver


def sent_messages(step_outputs, message_type):
    return [
        output.msg
        for output in step_outputs
        if isinstance(output, outputs.Send) and isinstance(output.msg, message_type)
    ]


def not_leader_rejections(cluster, request_id):
    return [
        output
        for output in cluster.results
        if output == outputs.Rejected(request_id, "", "not-leader")
    ]


def test_vote_reply_waits_for_save():
    """Guards against a replica that crashes after a vote and then votes again in the same term."""
    cluster = driver.Cluster(3)
    request = events.Received("n1", "initial", messages.Vote(5, 0, 0))
    assert not sent_messages(cluster.step("n0", request), messages.VoteReply)
    replica = cluster.replicas["n0"]
    step_outputs = cluster.step("n0", replica.sync())
    assert sent_messages(step_outputs, messages.VoteReply) == [messages.VoteReply(5, True)]
    replica.start(cluster.now)
    cluster.step("n0", events.Received("n2", "initial", messages.Vote(5, 9, 4)))
    while replica.pending_saves:
        cluster.sync_next_save("n0")
    assert cluster.network[-1][3] == messages.VoteReply(5, False)


def test_denies_vote_to_candidate_with_outdated_log():
    """Guards against electing a leader that lacks committed entries."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.propose(leader)
    cluster.run(5)
    cluster.now += 10
    target = next(name for name in cluster.replicas if name != leader)
    step_outputs = cluster.step(target, events.Received("n9", "x", messages.PreVote(99, 1, 1)))
    assert [msg.granted for msg in sent_messages(step_outputs, messages.PreVoteReply)] == [False]


def test_partitioned_replica_does_not_disrupt_leader_when_it_returns():
    """Guards against a higher term from a replica that was partitioned (pre-vote, stickiness)."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    term = cluster.replicas[leader].node.term
    follower = next(name for name in cluster.replicas if name != leader)
    cluster.partitioned.add(follower)
    cluster.run(100)
    cluster.partitioned.clear()
    cluster.run(30)
    assert (cluster.leader(), cluster.replicas[leader].node.term) == (leader, term)
    vote = messages.Vote(term + 1, 99, term)
    third_replica = next(name for name in cluster.replicas if name not in (leader, follower))
    cluster.step(third_replica, events.Received(follower, "initial", vote))
    assert cluster.replicas[third_replica].node.term == term


@pytest.mark.parametrize("suspended", [False, True])
def test_leader_without_majority_steps_down(suspended):
    """Guards against stale reads from a leader that is partitioned or was suspended."""
    cluster = driver.Cluster(3)
    old_leader = cluster.elect()
    cluster.run(5)
    if suspended:
        cluster.replicas[old_leader].suspended = True
    else:
        cluster.partitioned.add(old_leader)
    request_before = cluster.read(old_leader)
    cluster.run_until(lambda: cluster.leader() not in (None, old_leader))
    cluster.propose(cluster.leader())
    cluster.run(10)
    cluster.replicas[old_leader].suspended = False
    request_after = cluster.read(old_leader)
    cluster.step(old_leader, events.Propose("late", b""))
    assert (
        not_leader_rejections(cluster, request_before)
        and not_leader_rejections(cluster, request_after)
        and not_leader_rejections(cluster, "late")
    )
    assert not any(isinstance(output, outputs.ReadReady) for output in cluster.results)


def test_resumed_leader_ignores_replies_received_while_suspended():
    """Guards against confirming a read with replies that were buffered during the suspension."""
    cluster = driver.Cluster(3)
    old_leader = cluster.elect()
    cluster.run(5)
    request_id = cluster.read(old_leader)
    cluster.replicas[old_leader].suspended = True
    cluster.run(50)
    cluster.replicas[old_leader].suspended = False
    replies = [message for message in cluster.network if message[2] == old_leader]
    assert any(isinstance(message[3], messages.AppendReply) for message in replies)
    for message in replies:
        cluster.deliver(message)
    assert not_leader_rejections(cluster, request_id)


def test_transfer_does_not_wait_for_election_timeout():
    """Guards against an election timeout without a leader at a planned stop of the leader."""
    cluster = driver.Cluster(3)
    old_leader = cluster.elect()
    cluster.run(10)
    target = next(name for name in cluster.replicas if name != old_leader)
    cluster.step(old_leader, events.Transfer(target))
    cluster.step(old_leader, events.Propose("p", b""))
    assert cluster.results[-1].reason == "transferring"
    cluster.run(3)
    assert cluster.leader() == target


def test_transfer_to_unreachable_replica_times_out():
    """Guards against a leader that rejects proposals forever."""
    cluster = driver.Cluster(3)
    old_leader = cluster.elect()
    cluster.run(10)
    target = next(name for name in cluster.replicas if name != old_leader)
    cluster.partitioned.add(target)
    cluster.step(old_leader, events.Transfer(target))
    cluster.run(20)
    cluster.step(old_leader, events.Propose("p", b""))
    assert isinstance(cluster.results[-1], outputs.Proposed)


def test_preferred_replica_becomes_leader():
    """Guards against a leader that stays in a distant region after a restart."""
    cluster = driver.Cluster(3)
    old_leader = cluster.elect()
    target = next(name for name in cluster.replicas if name != old_leader)
    cluster.replicas[target].preferred = True
    cluster.crash(target)
    cluster.run_until(lambda: cluster.leader() == target)
    assert node.leader(cluster.replicas[old_leader].node) in ("", target)


def test_vote_requests_wait_for_save_of_own_vote():
    """Guards against a candidate that crashes, loses its own vote and votes for another replica."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    replica = cluster.replicas[next(name for name in cluster.replicas if name != leader)]
    request = messages.TimeoutNow(replica.node.term)
    step_outputs = cluster.step(replica.name, events.Received(leader, "initial", request))
    assert not sent_messages(step_outputs, messages.Vote)
    assert len(sent_messages(cluster.step(replica.name, replica.sync()), messages.Vote)) == 2


def test_transfer_waits_until_target_is_up_to_date():
    """Guards against a target that cannot win the election because it lacks entries."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    cluster.propose(leader)
    step_outputs = cluster.step(leader, events.Transfer())
    assert not sent_messages(step_outputs, messages.TimeoutNow)
    cluster.run(3)
    assert cluster.leader() not in (None, leader)


@pytest.mark.parametrize("voter", [False, True])
def test_only_voters_start_elections(voter):
    """Guards against learners that request votes."""
    cluster = driver.Cluster(3)
    replica = cluster.replicas["n0"]
    replicas = (messages.Replica("n0", "initial", voter), *cluster.membership.replicas[1:])
    replica.node.memberships = [(0, messages.Membership(replicas))]
    cluster.now = 100.0
    assert bool(sent_messages(cluster.step("n0", events.Tick()), messages.PreVote)) == voter


def test_replica_without_membership_grants_no_votes():
    """Guards against votes from a replica that has lost its disk and knows no membership."""
    cluster = driver.Cluster(3)
    cluster.lose_disk("n0")
    for msg in (messages.PreVote(5, 9, 4), messages.Vote(5, 9, 4)):
        cluster.step("n0", events.Received("n1", "initial", msg))
    while cluster.replicas["n0"].pending_saves:
        cluster.sync_next_save("n0")
    assert [message[3].granted for message in cluster.network] == [False, False]
