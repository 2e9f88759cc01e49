"""Announced rates spread to all entries, also to those that never used the endpoint."""

import random

from oriolelock import clock
from oriolelock.dispatch import endpoint_limits
from oriolelock.gateway import gossip, limit_gossip
from tests import waiting
from tests.dispatch import builders

ENTRIES = 12


class Node:
    """Gossip and chooser of one entry."""

    def __init__(self, running, cfg, name):
        self.chooser = builders.make_chooser(cfg, name=name)
        rng = random.Random(name)
        self.datagrams = gossip.Gossip(running.loop, ("127.0.0.1", 0), "token", self._receive, rng)
        self.gossip = limit_gossip.LimitGossip(running.loop, self.datagrams, self.chooser, rng)
        self.address = self.datagrams._sock.getsockname()

    def _receive(self, report):
        self.gossip.apply(report, clock.monotonic_s())

    def rate(self):
        return self.chooser.limits.rate("x1", clock.monotonic_s())

    def state(self, rate):
        now = clock.monotonic_s()
        if self.chooser.limits.record("x1", rate, now, now):
            self.gossip.announce("x1")


def make_nodes(running, count):
    cfg = builders.configure([builders.make_endpoint("x1")])
    nodes = [running.call(lambda n=n: Node(running, cfg, f"e{n}")) for n in range(count)]
    for node in nodes:
        peers = [peer.address for peer in nodes if peer is not node]
        running.call(lambda node=node, peers=peers: node.gossip.use_peers(peers))
    return nodes


def test_start_and_end_of_a_limit_reach_all_entries(running):
    nodes = make_nodes(running, ENTRIES)
    for rate in (2.5, endpoint_limits.UNLIMITED):
        running.call(lambda rate=rate: nodes[0].state(rate))
        waiting.until(lambda rate=rate: all(node.rate() == rate for node in nodes), 5.0)


def test_entry_that_starts_later_learns_the_limits_in_force(running):
    old, new = make_nodes(running, 2)
    running.call(lambda: old.gossip.use_peers([]))
    running.call(lambda: old.state(2.5))
    # The rounds for the change pass before the other entry is known.
    waiting.until(lambda: not old.gossip._rounds, 5.0)
    running.call(lambda: old.gossip.use_peers([new.address]))
    waiting.until(lambda: new.rate() == 2.5, 5.0)
