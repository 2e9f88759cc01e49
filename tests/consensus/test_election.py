"""
tests.consensus.test_election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~
"""

import pytest

from oriolelock.consensus import events, messages, node, outputs
from tests.consensus import driver


def sent(outs, kind):
    return [out.msg for out in outs if isinstance(out, outputs.Send) and isinstance(out.msg, kind)]


def rejected(cluster, request_id):
    return [out for out in cluster.results if out == outputs.Rejected(request_id, "", "not-leader")]


def test_vote_waits_for_its_save():
    """Guards against two votes of one replica in a term when it crashes after the first."""
    cluster = driver.Cluster(3)
    request = events.Received("n1", "initial", messages.Vote(5, 0, 0))
    assert not sent(cluster.step("n0", request), messages.VoteReply)
    item = cluster.replicas["n0"]
    outs = cluster.step("n0", item.sync())
    assert sent(outs, messages.VoteReply) == [messages.VoteReply(5, True)]
    item.start(cluster.now)
    cluster.step("n0", events.Received("n2", "initial", messages.Vote(5, 9, 4)))
    while item.unsynced:
        cluster.sync_one("n0")
    assert cluster.network[-1][3] == messages.VoteReply(5, False)


def test_refuses_candidate_with_older_log():
    """Guards against a leader that lacks committed entries."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.propose(leader)
    cluster.run(5)
    cluster.now += 10
    target = next(name for name in cluster.replicas if name != leader)
    outs = cluster.step(target, events.Received("n9", "x", messages.PreVote(99, 1, 1)))
    assert [msg.granted for msg in sent(outs, messages.PreVoteReply)] == [False]


def test_returning_replica_does_not_disturb_the_leader():
    """Guards against a higher term from a replica that was cut off (pre-vote, stickiness)."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    term = cluster.replicas[leader].node.term
    other = next(name for name in cluster.replicas if name != leader)
    cluster.cut.add(other)
    cluster.run(100)
    cluster.cut.clear()
    cluster.run(30)
    assert (cluster.leader(), cluster.replicas[leader].node.term) == (leader, term)
    vote = messages.Vote(term + 1, 99, term)
    third = next(name for name in cluster.replicas if name not in (leader, other))
    cluster.step(third, events.Received(other, "initial", vote))
    assert cluster.replicas[third].node.term == term


@pytest.mark.parametrize("frozen", [False, True])
def test_leader_without_majority_steps_down(frozen):
    """Guards against stale reads by a leader that is cut off, or was stopped and resumes."""
    cluster = driver.Cluster(3)
    old = cluster.elect()
    cluster.run(5)
    if frozen:
        cluster.replicas[old].frozen = True
    else:
        cluster.cut.add(old)
    before = cluster.read(old)
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    cluster.propose(cluster.leader())
    cluster.run(10)
    cluster.replicas[old].frozen = False
    after = cluster.read(old)
    cluster.step(old, events.Propose("late", b""))
    assert rejected(cluster, before) and rejected(cluster, after) and rejected(cluster, "late")
    assert not any(isinstance(out, outputs.ReadReady) for out in cluster.results)


def test_resumed_leader_ignores_replies_from_before_the_stop():
    """Guards against a read confirmed by replies that lay in the socket during the stop."""
    cluster = driver.Cluster(3)
    old = cluster.elect()
    cluster.run(5)
    request_id = cluster.read(old)
    cluster.replicas[old].frozen = True
    cluster.run(50)
    cluster.replicas[old].frozen = False
    replies = [message for message in cluster.network if message[2] == old]
    assert any(isinstance(message[3], messages.AppendReply) for message in replies)
    for message in replies:
        cluster.deliver(message)
    assert rejected(cluster, request_id)


def test_transfer_moves_leadership_at_once():
    """Guards against waiting for an election timeout on a planned stop of the leader."""
    cluster = driver.Cluster(3)
    old = cluster.elect()
    cluster.run(10)
    target = next(name for name in cluster.replicas if name != old)
    cluster.step(old, events.Transfer(target))
    cluster.step(old, events.Propose("p", b""))
    assert cluster.results[-1].reason == "transferring"
    cluster.run(3)
    assert cluster.leader() == target


def test_transfer_to_silent_replica_ends():
    """Guards against a leader that refuses proposals for ever."""
    cluster = driver.Cluster(3)
    old = cluster.elect()
    cluster.run(10)
    target = next(name for name in cluster.replicas if name != old)
    cluster.cut.add(target)
    cluster.step(old, events.Transfer(target))
    cluster.run(20)
    cluster.step(old, events.Propose("p", b""))
    assert isinstance(cluster.results[-1], outputs.Proposed)


def test_preferred_replica_takes_over():
    """Guards against a group that stays led from a distant region after a restart."""
    cluster = driver.Cluster(3)
    old = cluster.elect()
    target = next(name for name in cluster.replicas if name != old)
    cluster.replicas[target].preferred = True
    cluster.crash(target)
    cluster.run_until(lambda: cluster.leader() == target)
    assert node.leader(cluster.replicas[old].node) in ("", target)


def test_vote_request_waits_for_the_own_vote():
    """Guards against a candidate that crashes, forgets its vote and votes for another."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    item = cluster.replicas[next(name for name in cluster.replicas if name != leader)]
    request = messages.TimeoutNow(item.node.term)
    outs = cluster.step(item.name, events.Received(leader, "initial", request))
    assert not sent(outs, messages.Vote)
    assert len(sent(cluster.step(item.name, item.sync()), messages.Vote)) == 2


def test_transfer_waits_for_the_target():
    """Guards against a target that cannot win because it lacks entries."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    cluster.run(5)
    cluster.propose(leader)
    outs = cluster.step(leader, events.Transfer())
    assert not sent(outs, messages.TimeoutNow)
    cluster.run(3)
    assert cluster.leader() not in (None, leader)


@pytest.mark.parametrize("voter", [False, True])
def test_only_voters_campaign(voter):
    """Guards against learners that ask for votes."""
    cluster = driver.Cluster(3)
    item = cluster.replicas["n0"]
    replicas = (messages.Replica("n0", "initial", voter), *cluster.membership.replicas[1:])
    item.node.memberships = [(0, messages.Membership(replicas))]
    cluster.now = 100.0
    assert bool(sent(cluster.step("n0", events.Tick()), messages.PreVote)) == voter


def test_empty_replica_grants_nothing():
    """Guards against votes of a replica that knows no group."""
    cluster = driver.Cluster(3)
    cluster.lose_disk("n0")
    for msg in (messages.PreVote(5, 9, 4), messages.Vote(5, 9, 4)):
        cluster.step("n0", events.Received("n1", "initial", msg))
    while cluster.replicas["n0"].unsynced:
        cluster.sync_one("n0")
    assert [message[3].granted for message in cluster.network] == [False, False]
