"""
oriolelock.bench.policy.simulation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Plays a scene: callers send to entries, entries decide and send to endpoints.
"""

import heapq
import itertools
import random

from oriolelock.bench.policy import endpoint_model, outcome
from oriolelock.bench.policy import scene as scenes
from oriolelock.dispatch import chooser, decisions

__all__ = ["Simulation"]

CALLER_TRIP_S = 0.008
# As of the entry for routes.
TIMEOUT_SLACK_S = 0.17
# Until an answer is known to other entries: half of their interval and a trip.
GOSSIP_DELAY_S = 0.11
# Callers whose requests concern objects of their own region.
AT_HOME = 1.0
# A caller that was refused comes back once.
CALLER_RETRIES = 1


class Simulation:
    """Times in simulated seconds. ``shift_speed``: as in the entries' settings; ``fan_out``: the
    entries of the region that learn from an answer."""

    def __init__(self, scene: scenes.Scene, seed: int, shift_speed: float, fan_out: int = 0):
        self._scene = scene
        self._fan_out = fan_out
        self._rng = random.Random(seed)
        self._events: list = []
        self._ids = itertools.count()
        self._cfg = scenes.make_configuration(scene)
        self._works = {work.name: work for work in scene.works}
        self.outcome = outcome.Outcome(scene)
        self.endpoints = {
            name: endpoint_model.EndpointModel(self._works[item.service], self._at, self._rng)
            for name, item in self._cfg.endpoints.items()
        }
        self._choosers = {
            name: chooser.Chooser(
                name, item.region, item.failure_domain, shift_speed, random.Random(f"{seed}{name}")
            )
            for name, item in self._cfg.members.items()
        }
        regions: dict[str, list[chooser.Chooser]] = {}
        for name, item in self._choosers.items():
            item.configure(self._cfg, 0.0, 0.0)
            regions.setdefault(self._cfg.members[name].region, []).append(item)
        self._peers = {
            item.name: [peer for peer in items if peer is not item]
            for items in regions.values()
            for item in items
        }

    def run(self) -> outcome.Outcome:
        """Play the scene and return what callers got."""
        for place in self._scene.places:
            for work in self._scene.works:
                self._at(0.0, self._arrive, place, work)
        while self._events:
            now, _, callback, args = heapq.heappop(self._events)
            callback(now, *args)
        return self.outcome

    def _at(self, at_s, callback, *args):
        heapq.heappush(self._events, (at_s, next(self._ids), callback, args))

    def _arrive(self, now, place, work):
        rate = place.rate * work.share
        for burst in self._scene.bursts:
            if burst.work == work.name and burst.start_s <= now < burst.end_s:
                rate *= burst.factor
        later_s = now + self._rng.expovariate(rate)
        if later_s < self._scene.duration_s:
            self._at(later_s, self._arrive, place, work)
        if now > 0.0:
            _Request(self, place, work, now).send(now)

    def pick_key(self, place, work):
        """Return the object of a request of ``place``."""
        regions = sorted({item.region for item in self._scene.places})
        home = place.region if self._rng.random() < AT_HOME else self._rng.choice(regions)
        return f"{home}{self._rng.randrange(max(1, work.objects // len(regions)))}"

    def pick_entry(self, place):
        """Return the chooser of an entry of ``place``."""
        return self._choosers[f"entry-{place.name}-{self._rng.randrange(place.entries)}"]

    def trip_s(self, place, item):
        """Return the time one way between an entry of ``place`` and an endpoint."""
        near, region, far = self._scene.trips_s
        if item.region != place.region:
            return far
        return near if item.failure_domain == place.name else region

    def at(self, at_s, callback, *args):
        """Call ``callback(now, *args)`` at ``at_s``."""
        self._at(at_s, callback, *args)

    def share(self, own, found, now):
        """Let other entries of the region know what an answer told, unless it is off."""
        if not self._fan_out:
            return
        peers = self._peers[own.name]
        for peer in self._rng.sample(peers, min(self._fan_out, len(peers))):
            self._at(now + GOSSIP_DELAY_S, lambda at_s, peer=peer: peer.observed(found, at_s))

    def route(self, work):
        """Return the route of a kind of request."""
        return self._cfg.table.routes[work.name]


class _Request:
    """One request of a caller, with what its entry knows."""

    numbers = itertools.count(1)

    def __init__(self, sim, place, work, now):
        self._sim, self._place, self._work = sim, place, work
        self._began_s = now
        self._key = sim.pick_key(place, work)
        self._comebacks = 0
        sim.outcome.owed(place, work, now)

    def send(self, now):
        """Begin an attempt at a random entry of the failure domain."""
        self._chooser = self._sim.pick_entry(self._place)
        self._tried = frozenset()
        self._number = next(self.numbers)
        self._over = False
        arrived_s = now + CALLER_TRIP_S
        self._end_s = arrived_s + self._work.timeout_s + TIMEOUT_SLACK_S
        self._sim.at(arrived_s, self._attempt)

    def _attempt(self, now):
        objective_s = self._began_s + self._work.objective_s - CALLER_TRIP_S - now
        asked = decisions.Question(
            self._sim.route(self._work),
            self._work.name,
            f"/{self._work.name}/{self._key}",
            self._end_s - now,
            objective_s,
            self._tried,
        )
        found = self._chooser.choose(asked, now)
        if isinstance(found, decisions.Refuse):
            self._refused(now, found.retry_after_s)
            return
        item = found.view.endpoint
        self._tried |= {item.name}
        self._chooser.started(found, self._number, now)
        trip_s = self._sim.trip_s(self._place, item)
        until_s = self._end_s
        self._sim.outcome.sent(self._place, item, now)

        def arrive(at_s):
            self._sim.endpoints[item.name].arrive(at_s, self._key, until_s, ran)

        def ran(at_s, was_run):
            load = self._sim.endpoints[item.name].load()
            self._sim.at(at_s + trip_s, answered, was_run, load)

        def answered(at_s, was_run, load):
            if self._over:
                return
            found.view.ended(self._number)
            if was_run:
                self._over = True
                self._chooser.answered(found, asked, at_s - now, load, False, at_s)
                self._sim.share(
                    self._chooser, self._chooser.learned(found.view, asked.key, load), at_s
                )
                self._sim.outcome.answered(
                    self._place, self._work, self._began_s, at_s + CALLER_TRIP_S - self._began_s
                )
                return
            found.view.shed(at_s)
            found.view.reported(load, at_s)
            if len(self._tried) < 2:
                self._attempt(at_s)
            else:
                self._refused(at_s, 0.25)

        def expired(at_s):
            if not self._over and at_s >= self._end_s:
                self._over = True
                found.view.ended(self._number)
                found.view.answered(2.0, False, at_s)
                self._sim.outcome.failed(self._place, self._work, "timeout")

        self._sim.at(now + trip_s, arrive)
        self._sim.at(self._end_s, expired)

    def _refused(self, now, retry_after_s):
        self._over = True
        self._sim.outcome.failed(self._place, self._work, "refused")
        if self._comebacks < CALLER_RETRIES:
            self._comebacks += 1
            self._sim.at(now + 2 * CALLER_TRIP_S + retry_after_s, self.send)
