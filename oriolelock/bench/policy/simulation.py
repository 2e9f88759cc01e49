"""
oriolelock.bench.policy.simulation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Plays a scene: callers send to entries, entries decide and send to endpoints.
"""

import heapq
import itertools
import random

from oriolelock.bench.policy import endpoint_model, outcome, request_model
from oriolelock.bench.policy import scene as scenes
from oriolelock.dispatch import chooser, observation
from oriolelock.model import endpoint, route

__all__ = ["Simulation"]

# Until an answer is known to other entries: half of their interval and a trip.
GOSSIP_DELAY_S = 0.11
# Callers whose requests concern objects of their own region.
AT_HOME = 1.0


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
            name: endpoint_model.EndpointModel(self._works[item.service], self.at, self._rng)
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
                self.at(0.0, self._arrive, place, work)
        while self._events:
            now, _, callback, args = heapq.heappop(self._events)
            callback(now, *args)
        return self.outcome

    def at(self, at_s: float, callback, *args) -> None:
        """Call ``callback(now, *args)`` at ``at_s``."""
        heapq.heappush(self._events, (at_s, next(self._ids), callback, args))

    def _arrive(self, now, place, work):
        rate = place.rate_at(now, self._scene.wave) * work.share
        for burst in self._scene.bursts:
            if burst.work == work.name and burst.start_s <= now < burst.end_s:
                rate *= burst.factor
        later_s = now + self._rng.expovariate(rate)
        if later_s < self._scene.duration_s:
            self.at(later_s, self._arrive, place, work)
        if now > 0.0:
            request_model.RequestModel(self, place, work, now).send(now)

    def pick_key(self, place: scenes.Place, work: scenes.Work) -> str:
        """Return the object of a request of ``place``."""
        regions = sorted({item.region for item in self._scene.places})
        home = place.region if self._rng.random() < AT_HOME else self._rng.choice(regions)
        return f"{home}{self._rng.randrange(max(1, work.objects // len(regions)))}"

    def pick_entry(self, place: scenes.Place) -> chooser.Chooser:
        """Return the chooser of an entry of ``place``."""
        return self._choosers[f"entry-{place.name}-{self._rng.randrange(place.entries)}"]

    def trip_s(self, place: scenes.Place, item: endpoint.Endpoint) -> float:
        """Return the time one way between an entry of ``place`` and an endpoint."""
        near, region, far = self._scene.trips_s
        if item.region != place.region:
            return far
        return near if item.failure_domain == place.name else region

    def share(self, own: chooser.Chooser, found: observation.Observation, now: float) -> None:
        """Let other entries of the region know what an answer told, unless it is off."""
        if not self._fan_out:
            return
        peers = self._peers[own.name]
        for peer in self._rng.sample(peers, min(self._fan_out, len(peers))):
            self.at(now + GOSSIP_DELAY_S, _tell, peer, found)

    def route(self, work: scenes.Work) -> route.Route:
        """Return the route of a kind of request."""
        return self._cfg.table.routes[work.name]


def _tell(now, peer, found):
    peer.observed(found, now)
