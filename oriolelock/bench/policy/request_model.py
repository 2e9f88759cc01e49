"""
oriolelock.bench.policy.request_model
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One request of a caller in the policy model, with what its entry knows of it.
"""

import itertools

from oriolelock.bench.policy import scene as scenes
from oriolelock.dispatch import decisions

__all__ = ["RequestModel"]

CALLER_TRIP_S = 0.008
# As of the entry for routes.
TIMEOUT_SLACK_S = 0.17
# After a shed without another attempt left.
SHED_RETRY_AFTER_S = 0.25
# A caller that was refused comes back once.
CALLER_RETRIES = 1

numbers = itertools.count(1)


class RequestModel:
    """``sim``: the simulation; times in simulated seconds."""

    def __init__(self, sim, place: scenes.Place, work: scenes.Work, now: float):
        self._sim, self._place, self._work = sim, place, work
        self._began_s = now
        self._key = sim.pick_key(place, work)
        self._comebacks = 0
        sim.outcome.owed(place, work, now)

    def send(self, now: float) -> None:
        """Begin an attempt at a random entry of the failure domain."""
        self._chooser = self._sim.pick_entry(self._place)
        self._tried: frozenset[str] = frozenset()
        self._number = next(numbers)
        self._over = False
        arrived_s = now + CALLER_TRIP_S
        self._end_s = arrived_s + self._work.timeout_s + TIMEOUT_SLACK_S
        self._sim.at(arrived_s, self._attempt)

    def _attempt(self, now):
        asked = decisions.RequestContext(
            self._sim.route(self._work),
            self._work.name,
            f"/{self._work.name}/{self._key}",
            self._end_s - now,
            self._began_s + self._work.objective_s - CALLER_TRIP_S - now,
            self._tried,
        )
        found = self._chooser.choose(asked, now)
        if isinstance(found, decisions.Refuse):
            self._refused(now, found.retry_after_s)
        else:
            self._send_on(found, asked, now)

    def _send_on(self, found, asked, now):
        item = found.view.endpoint
        self._tried |= {item.name}
        self._chooser.started(found, self._number, now)
        self._sim.outcome.sent(self._place, item, now)
        trip_s = self._sim.trip_s(self._place, item)

        def ran(at_s, was_run):
            load = self._sim.endpoints[item.name].load()
            back = self._answered if was_run else self._shed
            self._sim.at(at_s + trip_s, back, found, asked, load, now)

        self._sim.at(
            now + trip_s, self._sim.endpoints[item.name].arrive, self._key, self._end_s, ran
        )
        self._sim.at(self._end_s, self._expired, found, asked)

    def _answered(self, now, found, asked, load, sent_s):
        if self._over:
            return
        self._over = True
        found.view.ended(self._number)
        self._chooser.answered(found, asked, now - sent_s, load, False, now)
        self._sim.share(self._chooser, self._chooser.learned(found.view, asked.key, load), now)
        elapsed_s = now + CALLER_TRIP_S - self._began_s
        self._sim.outcome.answered(self._place, self._work, self._began_s, elapsed_s)

    def _shed(self, now, found, asked, load, sent_s):
        if self._over:
            return
        found.view.ended(self._number)
        found.view.shed(now)
        found.view.reported(load, now)
        if len(self._tried) < self._sim.route(self._work).attempts:
            self._attempt(now)
        else:
            self._refused(now, SHED_RETRY_AFTER_S)

    def _expired(self, now, found, asked):
        if self._over or now < self._end_s:
            return
        self._over = True
        found.view.ended(self._number)
        self._chooser.timed_out(found, asked, now)
        self._sim.outcome.failed(self._place, self._work, "timeout")

    def _refused(self, now, retry_after_s):
        self._over = True
        self._sim.outcome.failed(self._place, self._work, "refused")
        if self._comebacks < CALLER_RETRIES:
            self._comebacks += 1
            self._sim.at(now + 2 * CALLER_TRIP_S + retry_after_s, self.send)
