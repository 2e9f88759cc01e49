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
from oriolelock.gateway import gossip
from oriolelock.http1 import loop as loops

__all__ = ["LimitGossip"]

CHANGE_INTERVAL_S = 0.2
# With this many recipients and rounds, a change reaches all of a large fleet with near certainty.
CHANGE_FAN_OUT = 5
CHANGE_ROUNDS = 4
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
        # By endpoint: rounds in which its change is still to be sent.
        self._rounds_left: dict[str, int] = {}
        loop.call_each(CHANGE_INTERVAL_S, self._send_changes)
        loop.call_each(FULL_INTERVAL_S, self._send_all)

    def use_peers(self, peers: collections.abc.Iterable[gossip.Address]) -> None:
        """Replace the addresses of the other entries, those of other regions included."""
        self._peers = sorted(peers)

    def announce(self, endpoint: str) -> None:
        """Pass on the rate of an endpoint, which has changed."""
        self._rounds_left[endpoint] = CHANGE_ROUNDS

    def apply(self, report: observation.LimitReport, now: float) -> str:
        """Apply a report of another entry; returns the endpoint's name if the rate changed."""
        endpoint = self._chooser.apply_limit_report(report, now)
        if endpoint:
            self.announce(endpoint)
        return endpoint

    def _send_changes(self):
        if self._rounds_left:
            changed = set(self._rounds_left)
            self._send(CHANGE_FAN_OUT, changed)
            self._rounds_left = {
                name: rounds - 1 for name, rounds in self._rounds_left.items() if rounds > 1
            }

    def _send_all(self):
        self._send(1, None)

    def _send(self, fan_out, endpoints):
        reports = self._chooser.limit_reports(endpoints, clock.monotonic_s())
        peers = self._rng.sample(self._peers, min(fan_out, len(self._peers)))
        if reports and peers:
            self._datagrams.send_limits(reports, peers)
