"""
oriolelock.gateway.restart_gossip
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Tells other entries which endpoints may have started again, and whether the others are heard.

    News go to all entries at once, up to a number, and those that hear them pass them on. In short
    intervals each entry sends all that it knows to a few others of its region, so that one that
    hears from them knows of all doubts, and now and then to one of another region. An entry that
    hears too few asks others anywhere.
"""

import collections.abc
import random

from oriolelock import clock, events
from oriolelock.dispatch import (
    chooser,
    endpoint_view,
    fleet_contact,
    observation,
    restarts,
)
from oriolelock.gateway import gossip, restart_signs
from oriolelock.http1 import loop as loops

__all__ = ["RestartGossip"]

INTERVAL_S = 0.4
TICK_S = 0.1
# Recipients of all that an entry knows.
FAN_OUT = 3
# Recipients of a doubt of all endpoints.
ALL_RECIPIENTS = 12
# Entries that are asked, if too few are heard.
ASKED_FAN_OUT = 4
# Between datagrams to another region, while there is something to tell.
REMOTE_INTERVAL_S = 1.0
# Recipients of news, and of news that are passed on.
MAX_NEWS_RECIPIENTS = 64
RELAY_FAN_OUT = 5
# In which news are gathered that are passed on.
RELAY_DELAY_S = 0.02
# Entries that see unclear signs of the same end within this time.
MIN_VOTES = 2
VOTE_LIFETIME_S = 1.0
# How long others may be answered that ask whether an endpoint has ended.
ASKED_FOR_S = 5.0

log = events.Events("gateway")


class RestartGossip:
    """Not thread-safe: used in the loop's thread.

    ``on_restarted(view)`` is called when an endpoint in doubt turns out to have started again.
    """

    def __init__(
        self,
        loop: loops.Loop,
        datagrams: gossip.Gossip,
        selector: chooser.Chooser,
        rng: random.Random,
        on_restarted: collections.abc.Callable[[endpoint_view.EndpointView], None],
    ):
        self._on_restarted = on_restarted
        self._loop = loop
        self._datagrams = datagrams
        self._chooser = selector
        self._rng = rng
        self._peers: list[gossip.Address] = []
        self._local_peers: list[gossip.Address] = []
        self._told_remote_s = float("-inf")
        self._fleet = fleet_contact.FleetContact()
        self._was_informed = False
        # Digests of endpoints whose news are sent at the next turn of the loop.
        self._news: set[int] = set()
        # And those of which news are passed on.
        self._relayed: set[int] = set()
        # What others suspect: by endpoint's digest and sender, when that was heard.
        self._votes: dict[int, dict[gossip.Address, float]] = {}
        # By endpoint's digest: since when others ask whether it has ended.
        self._asked_s: dict[int, float] = {}
        self.signs = restart_signs.RestartSigns(loop, selector, self.record_sign)
        selector.is_informed = self._fleet.is_informed
        datagrams.on_heard = self._record_heard
        loop.call_each(TICK_S, self._tick)
        loop.call_each(INTERVAL_S, self._send_all)

    def use_peers(
        self,
        local: collections.abc.Iterable[gossip.Address],
        peers: collections.abc.Iterable[gossip.Address],
    ) -> None:
        """Replace the addresses of the other entries: of the region, and of all regions."""
        self._local_peers = sorted(local)
        self._peers = sorted(peers)
        now = clock.monotonic_s()
        self._votes = {
            digest: recent
            for digest, votes in self._votes.items()
            if (recent := {k: at_s for k, at_s in votes.items() if now - at_s <= VOTE_LIFETIME_S})
        }
        self._asked_s = {k: at_s for k, at_s in self._asked_s.items() if now - at_s <= ASKED_FOR_S}
        self._fleet.configure(self._peers)

    def counts(self, now: float) -> dict[restarts.State, int]:
        """Return the number of endpoints in doubt and of those that are cold."""
        return self._chooser.restarts.counts(now)

    def is_informed(self, now: float) -> bool:
        """Return whether news of the other entries would have reached this one."""
        return self._fleet.is_informed(now)

    def record_sign(self, view: endpoint_view.EndpointView, reason: str, is_clear: bool) -> None:
        """Apply a sign that an endpoint has ended.

        If it is not clear whether the fault is this entry's, the signs that others see decide.
        """
        now, digest = clock.monotonic_s(), view.restart_digest
        # A configuration may have replaced the view since the connection was opened.
        view = self._chooser.view_of_restart(digest)
        if view is None or not view.is_staying(now):
            return
        # An entry that does not hear the others may be the one that is cut off.
        if self._fleet.is_informed(now) and (is_clear or self._count_votes(digest, now)):
            self._raise_doubt(view, reason, now)
        elif not self._chooser.restarts.state(digest, now).is_open:
            is_new = self._chooser.restarts.unsure_age_s(digest, now) is None
            self._chooser.restarts.mark_unsure(digest, now)
            if is_new:
                log.notable("endpoint-unsure", endpoint=view.endpoint.name, reason=reason)
                self._tell(digest)

    def _count_votes(self, digest, now):
        votes = self._votes.get(digest, {})
        return sum(now - heard_s <= VOTE_LIFETIME_S for heard_s in votes.values())

    def _raise_doubt(self, view, reason, now):
        if self._chooser.restarts.raise_doubt(view.restart_digest, now, clock.wall_s()):
            self._log_state(view, reason, now)
            self._tell(view.restart_digest)

    def record_health(
        self, view: endpoint_view.EndpointView, health: endpoint_view.Health, cold_s: float
    ) -> None:
        """Apply a response to a health check; ``cold_s``: longest time for which it is cold."""
        now, digest = clock.monotonic_s(), view.restart_digest
        left_s = min(health.cold_ms / 1000.0, cold_s)
        if not health.is_healthy or not health.tells_cold:
            self.record_up(view, cold_s)
        elif left_s > 0.0:
            if self._chooser.restarts.record_cold(digest, left_s, cold_s, now, clock.wall_s()):
                view.withdraw_refusal()
                self._record_change(view, "health check", now)
        else:
            was_unsure = self._chooser.restarts.unsure_age_s(digest, now) is not None
            if self._chooser.restarts.settle(digest, now):
                self._record_change(view, "health check", now)
            elif was_unsure:
                self._chooser.restarts.vouch(digest, now, clock.wall_s())
                self._tell(digest)

    def record_up(self, view: endpoint_view.EndpointView, cold_s: float) -> None:
        """Record that an endpoint in doubt is up, and does not tell whether it is cold."""
        now, digest = clock.monotonic_s(), view.restart_digest
        if self._chooser.restarts.state(digest, now).is_open:
            assumed = restarts.State.ASSUMED_COLD
            wall_s = clock.wall_s()
            self._chooser.restarts.record_cold(digest, cold_s, cold_s, now, wall_s, assumed)
            view.record_cold(cold_s, now)
            self._record_change(view, "health check", now)

    def record_response(
        self, view: endpoint_view.EndpointView, connected_s: float, cold_s: float
    ) -> None:
        """Record a response over a connection that was opened at ``connected_s``."""
        now = clock.monotonic_s()
        view.contact.heard(now)
        asked_s = self._asked_s.get(view.restart_digest)
        if asked_s is not None and now - asked_s >= restarts.IN_TRANSIT_S:
            del self._asked_s[view.restart_digest]
            if connected_s < asked_s - VOTE_LIFETIME_S:
                self._chooser.restarts.vouch(view.restart_digest, now, clock.wall_s())
                self._tell(view.restart_digest)
        if self._chooser.restarts.record_response(view.restart_digest, connected_s, cold_s, now):
            self._record_change(view, "response", now)

    def apply(self, report: restarts.Report, now: float) -> None:
        """Apply what another entry knows, and pass it on if it is new."""
        view = self._chooser.apply_restart_report(report, now)
        if view is not None:
            self._note_outcome(view, now)
            self._log_state(view, "gossip", now)
            current = self._chooser.restarts.report(view.restart_digest, now)
            if current.number > report.number:
                # This entry has seen a later sign.
                self._tell(view.restart_digest)
            elif len(self._peers) > MAX_NEWS_RECIPIENTS:
                self._relay(view.restart_digest)

    def _record_change(self, view, source, now):
        self._note_outcome(view, now)
        self._log_state(view, source, now)
        self._tell(view.restart_digest)

    def _note_outcome(self, view, now):
        state = self._chooser.restarts.state(view.restart_digest, now)
        if not state.is_open:
            self.signs.record_settled(view, state.is_cold)
        if state.is_cold:
            self._on_restarted(view)

    def _log_state(self, view, source, now):
        report = self._chooser.restarts.report(view.restart_digest, now)
        log.notable(
            "endpoint-restart",
            endpoint=view.endpoint.name,
            state=report.state.name.lower(),
            doubt=report.number,
            cold_s=report.cold_s,
            age_s=report.age_s,
            source=source,
        )

    def _tell(self, digest):
        if not self._news:
            self._loop.call_soon(self._send_news)
        self._news.add(digest)

    def _relay(self, digest):
        if not self._relayed:
            self._loop.call_later(RELAY_DELAY_S, self._send_relayed)
        self._relayed.add(digest)

    def _send_relayed(self):
        now, relayed = clock.monotonic_s(), self._relayed
        self._relayed = set()
        reports = [self._chooser.restarts.report(digest, now) for digest in relayed]
        self._send([*filter(None, reports)], RELAY_FAN_OUT)

    def _send_news(self):
        now, news = clock.monotonic_s(), self._news
        self._news = set()
        known = self._chooser.restarts
        reports = [known.report(digest, now) for digest in news]
        suspicions = [
            restarts.Suspicion(digest)
            for digest in news
            if known.unsure_age_s(digest, now) is not None
        ]
        self._send([*filter(None, reports), *suspicions], MAX_NEWS_RECIPIENTS)

    def _send_all(self):
        now = clock.monotonic_s()
        reports = self._chooser.restarts.reports(now)
        self._send_to(reports, self._sample(self._local_peers, FAN_OUT))
        if self._fleet.needs_replies(now):
            status = observation.EntryStatus(self._fleet.is_initiated, wants_reply=True)
            asked = self._sample(self._peers, ASKED_FAN_OUT)
            self._datagrams.send_restarts(status, reports, asked)
        elif reports and now - self._told_remote_s >= REMOTE_INTERVAL_S:
            self._told_remote_s = now
            self._send_to(reports, self._sample(self._peers, 1))

    def _sample(self, peers, count):
        return self._rng.sample(peers, min(count, len(peers)))

    def _send(self, reports, fan_out):
        self._send_to(reports, self._sample(self._peers, fan_out))

    def _send_to(self, reports, peers):
        status = observation.EntryStatus(self._fleet.is_initiated)
        self._datagrams.send_restarts(status, reports, peers)

    def _record_heard(self, sender, status, suspicions):
        now = clock.monotonic_s()
        self._fleet.record(sender, status.is_initiated if status else None, now)
        if status is not None and status.wants_reply:
            self._send_to(self._chooser.restarts.reports(now), [sender])
        for suspicion in suspicions:
            self._apply_suspicion(sender, suspicion.endpoint_digest, now)

    def _apply_suspicion(self, sender, digest, now):
        view = self._chooser.view_of_restart(digest)
        if view is None:
            return
        self._votes.setdefault(digest, {})[sender] = now
        self._asked_s[digest] = now
        own_age_s = self._chooser.restarts.unsure_age_s(digest, now)
        is_suspected = own_age_s is not None and own_age_s <= VOTE_LIFETIME_S
        has_enough = is_suspected + self._count_votes(digest, now) >= MIN_VOTES
        if not view.is_staying(now) or self._chooser.restarts.state(digest, now).is_open:
            return
        if has_enough and self._fleet.is_informed(now):
            self._raise_doubt(view, "several entries", now)
        elif own_age_s is None and not view.contact.is_fresh(now):
            # Not told, as it is only heard.
            self._chooser.restarts.mark_unsure(digest, now)

    def _tick(self):
        now = clock.monotonic_s()
        if self._fleet.tick(now):
            log.notable("no-informed-entry", endpoints=len(self._chooser.views))
            self._chooser.doubt_all(now, clock.wall_s())
            self._send(self._chooser.restarts.reports(now), ALL_RECIPIENTS)
        is_informed = self._fleet.is_informed(now)
        if is_informed != self._was_informed:
            self._was_informed = is_informed
            log.notable("informed" if is_informed else "uninformed", entries=len(self._peers))
            if not is_informed:
                self._chooser.restarts.withdraw_doubts(now)
                self._fleet.start_anew()
