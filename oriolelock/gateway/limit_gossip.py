"""
oriolelock.gateway.limit_gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Spreads the request rates that endpoints announce to the entries of all regions.

    Changes are passed on at once in several rounds. In addition, each entry regularly sends all
    that it knows to one other entry, for those that missed the rounds or started since.
"""

import collections.abc
import random

from oriolelock import clock
from oriolelock.dispatch import chooser, observation
from oriolelock.gateway import gossip, rumor_rounds
from oriolelock.http1 import loop as loops

__all__ = ["LimitGossip"]

FULL_INTERVAL_S = 1.0


class LimitGossip:
    """Not thread-safe: used in the loop's thread."""

    def __init__(
        self,
        loop: loops.Loop,
        datagrams: gossip.Gossip,
        selector: chooser.Chooser,
        rng: random.Random,
    ):
        self._datagrams = datagrams
        self._chooser = selector
        self._rng = rng
        self._peers: list[gossip.Address] = []
        # Names of the endpoints whose change is still to be sent.
        self._rounds = rumor_rounds.RumorRounds()
        loop.call_each(rumor_rounds.INTERVAL_S, self._send_changes)
        loop.call_each(FULL_INTERVAL_S, self._send_all)

    def use_peers(self, peers: collections.abc.Iterable[gossip.Address]) -> None:
        """Replace the addresses of the other entries, those of other regions included."""
        self._peers = sorted(peers)

    def announce(self, endpoint: str) -> None:
        """Pass on the rate of an endpoint, which has changed."""
        self._rounds.add(endpoint)

    def apply(self, report: observation.LimitReport, now: float) -> str:
        """Apply a report of another entry; returns the endpoint's name if the rate changed."""
        endpoint = self._chooser.apply_limit_report(report, now)
        if endpoint:
            self.announce(endpoint)
        return endpoint

    def _send_changes(self):
        if self._rounds:
            self._send(rumor_rounds.FAN_OUT, set(self._rounds.take_round()))

    def _send_all(self):
        self._send(1, None)

    def _send(self, fan_out, endpoints):
        reports = self._chooser.limit_reports(endpoints, clock.monotonic_s())
        peers = self._rng.sample(self._peers, min(fan_out, len(self._peers)))
        if reports and peers:
            self._datagrams.send_limits(reports, peers)
