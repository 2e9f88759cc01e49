"""Tests that a leader finds replicas that may be admitted, and changes nothing else by it."""

from oriolelock.consensus import events, messages, node
from tests.consensus import driver, simulated


def make_group():
    """Return a cluster, the name of its leader, and a node with an empty folder."""
    cluster = driver.Cluster(3)
    leader = cluster.elect()
    empty = simulated.Replica("new", "i", messages.Membership(()), cluster.rng, cluster.settings)
    empty.start(cluster.now)
    return cluster, leader, empty.node


def probe(cluster, leader, names):
    """Return what a leader sends to ``names`` with its next round of heartbeats."""
    leading = cluster.replicas[leader].node
    now = leading.heartbeat_sent_s + 1.0
    node.step(leading, events.Tick(), now)
    return node.step(leading, events.Probe(names), now)


def test_only_replicas_that_are_no_members_are_probed_once_a_round():
    cluster, leader, _ = make_group()
    leading = cluster.replicas[leader].node
    sent = probe(cluster, leader, ("n0", "n1", "n2", "new"))
    assert [output.target for output in sent] == ["new"]
    assert node.step(leading, events.Probe(("new",)), leading.heartbeat_sent_s + 0.05) == []


def test_follower_does_not_probe():
    cluster, leader, _ = make_group()
    name = next(name for name in cluster.replicas if name != leader)
    following = cluster.replicas[name].node
    assert node.step(following, events.Probe(("new",)), following.heartbeat_sent_s) == []


def test_reply_of_a_probed_replica_makes_it_known_to_the_leader():
    cluster, leader, empty = make_group()
    leading = cluster.replicas[leader].node
    [sent] = probe(cluster, leader, ("new",))
    now = leading.heartbeat_sent_s
    outputs = node.step(empty, events.Received(leader, "initial", sent.msg), now)
    saved = [output.number for output in outputs if hasattr(output, "number")]
    for number in saved:
        outputs += node.step(empty, events.Saved(number), now)
    [reply] = [o.msg for o in outputs if getattr(o, "target", "") == leader]
    assert not reply.success
    assert empty.log.last_index == 0
    node.step(leading, events.Received("new", "i", reply), now)
    assert node.non_members(leading) == {"new": "i"}
