"""
oriolelock.gateway.notice_gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Spreads facts about endpoints to the entries of all regions, and symptoms within the region.

    Facts are certain and passed on by each entry to which they are new. Symptoms are the experience
    of one entry and sent by that entry only.
"""

import collections.abc
import random

from oriolelock import clock, events
from oriolelock.dispatch import endpoint_view, observation, peer_reports
from oriolelock.gateway import gossip, rumor_rounds
from oriolelock.http1 import loop as loops

__all__ = ["NoticeGossip"]

# A replica has told most entries already, and repeats it until the configuration says so.
LISTED_ROUNDS = 2

log = events.Events("gateway")


class NoticeGossip:
    """Not thread-safe: used in the loop's thread."""

    def __init__(
        self,
        loop: loops.Loop,
        datagrams: gossip.Gossip,
        reports: peer_reports.PeerReports,
        rng: random.Random,
    ):
        self._datagrams = datagrams
        self._reports = reports
        self._rng = rng
        self._peers: list[gossip.Address] = []
        self._rounds = rumor_rounds.RumorRounds()
        self._symptoms: list[gossip.Symptom] = []
        loop.call_each(rumor_rounds.INTERVAL_S, self._send_round)

    def use_peers(self, peers: collections.abc.Iterable[gossip.Address]) -> None:
        """Replace the addresses of the other entries, those of other regions included."""
        self._peers = sorted(peers)

    def announce(self, view: endpoint_view.EndpointView, fact: endpoint_view.Fact) -> None:
        """Tell all entries a fact about an endpoint."""
        self._rounds.add(observation.EndpointNotice(peer_reports.view_digest(view), fact))

    def report_unreachable(self, view: endpoint_view.EndpointView) -> None:
        """Tell entries of the region that no connection to an endpoint could be opened."""
        self._symptoms.append(self._reports.unreachable(view))

    def apply(self, notice: observation.EndpointNotice, now: float) -> None:
        """Apply a fact of another entry, and pass it on if it is new."""
        view = self._reports.apply_notice(notice, now)
        if view is not None:
            is_listed = notice.fact is endpoint_view.Fact.LISTED_LEAVING
            self._rounds.add(notice, LISTED_ROUNDS if is_listed else rumor_rounds.ROUNDS)
            log.usual("endpoint-notice", endpoint=view.endpoint.name, fact=notice.fact.name.lower())

    def _send_round(self):
        if self._rounds:
            peers = self._rng.sample(self._peers, min(rumor_rounds.FAN_OUT, len(self._peers)))
            self._datagrams.send_notices(self._rounds.take_round(), peers)
        symptoms = [*self._symptoms, *self._reports.find_slow(clock.monotonic_s())]
        self._symptoms = []
        if symptoms:
            self._datagrams.send_symptoms(symptoms)
