"""
oriolelock.dispatch.chooser
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Chooses the endpoint of each request, or refuses it before it is sent.

    The endpoint with the least expected cost wins: time until the answer against the request's
    objective, bytes between failure domains and regions, errors, and work without the object
    at hand. Among equals a hash of the object decides, so that all entries agree.
"""

import dataclasses
import random

from oriolelock.dispatch import (
    cold_quota,
    costs,
    decisions,
    endpoint_view,
    observation,
    ranking,
    region_split,
    service_times,
)
from oriolelock.model import configuration, endpoint, service

__all__ = ["Chooser"]

REGION_TRIP_S = 0.05
# Of each rank below the preferred endpoint of an object, up to the largest rank that counts.
RANK_COST = 0.06
MAX_RANK = 4
# Objects whose order of endpoints is remembered; 1.6 KB each with 80 endpoints of a service.
MAX_RANKED_KEYS = 512
# How long a request may wait at its endpoint, as a part of its objective, by priority: the most
# urgent wait as long as they can be served at all.
WAIT_PARTS = (6.0, 3.0, 2.0)
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 1.0
# Cold endpoints work at about half of their speed.
COLD_SLOWNESS = 2.0
FALLBACK_COLD_MS = 3000.0


@dataclasses.dataclass(frozen=True)
class _Best:
    """The best candidate of a region, if any fits; the shortest expected wait of all."""

    send: decisions.Send | None
    cost: float
    wait_s: float


class Chooser:
    """Routing state of one entry; not thread-safe. Times are monotonic seconds.

    ``shift_speed``: how fast the part of requests that leave the region may change, per second.
    """

    def __init__(self, name: str, region: str, domain: str, shift_speed: float, rng: random.Random):
        self.name = name
        self._region = region
        self._domain = domain
        self._rng = rng
        self.views: dict[str, endpoint_view.EndpointView] = {}
        self._by_service: dict[str, list[endpoint_view.EndpointView]] = {}
        self._services: dict[str, service.Service] = {}
        self._drained: set[str] = set()
        self._by_digest: dict[int, endpoint_view.EndpointView] = {}
        # Of each service and object: the rank of the endpoints by name.
        self._ranked: dict[tuple[str, str], dict[str, int]] = {}
        self._times: dict[str, service_times.ServiceTimes] = {}
        self._cold = cold_quota.ColdQuota()
        self._shift_speed = shift_speed
        self._splits: dict[str, region_split.RegionSplit] = {}
        self._entries_of_region: dict[str, tuple[str, ...]] = {}
        self.entries = 1
        self._is_configured = False

    def configure(self, cfg: configuration.Configuration, now: float, wall_s: float) -> None:
        """Use a configuration."""
        self._services = cfg.table.services
        self._configure_entries(cfg)
        drained = self._find_drained(cfg, wall_s)
        for name in [name for name in self.views if name not in cfg.endpoints]:
            del self.views[name]
        for item in cfg.endpoints.values():
            self._configure_endpoint(item, now)
        for name in self._drained - drained:
            # It may have become cold meanwhile; a health check tells.
            if name in self.views:
                self.views[name].needs_check = True
        self._drained = drained
        self._by_service = {}
        self._ranked.clear()
        self._by_digest = {_view_digest(view): view for view in self.views.values()}
        for view in self.views.values():
            self._by_service.setdefault(view.endpoint.service, []).append(view)
        self._cold.retain(self.views)
        self._splits = {k: v for k, v in self._splits.items() if k in cfg.table.services}
        self._times = {k: v for k, v in self._times.items() if k in cfg.table.routes}
        self._is_configured = self._is_configured or bool(cfg.endpoints)

    def _configure_entries(self, cfg):
        found: dict[str, set[str]] = {self._region: {self.name}}
        for item in cfg.members.values():
            if item.role == "entry" and item.state == "live":
                found.setdefault(item.region, set()).add(item.name)
        self._entries_of_region = {k: tuple(sorted(v)) for k, v in found.items()}
        self.entries = sum(len(names) for names in found.values())

    def _find_drained(self, cfg, wall_s):
        due = [item for item in cfg.drains.values() if item.start_s <= wall_s]
        return {
            item.name
            for item in cfg.endpoints.values()
            if any(found.covers_endpoint(item) for found in due)
        }

    def _configure_endpoint(self, item: endpoint.Endpoint, now: float):
        view = self.views.get(item.name)
        known = view and (view.endpoint.address, view.endpoint.started_ms)
        if known != (item.address, item.started_ms):
            self.views[item.name] = endpoint_view.EndpointView(item)
            return
        if item.cold and not view.endpoint.cold:
            view.forget_objects()
        view.endpoint = item

    def times(self, item) -> service_times.ServiceTimes:
        """Return the service times of a route."""
        known = self._times.get(item.name)
        if known is None:
            known = service_times.ServiceTimes(item.objective_ms / 1000.0, item.affinity)
            self._times[item.name] = known
        return known

    def cold_s(self, view: endpoint_view.EndpointView) -> float:
        """Return how long an endpoint of this service is cold after its start."""
        found = self._services.get(view.endpoint.service)
        return (found.cold_ms if found else FALLBACK_COLD_MS) / 1000.0

    def choose(self, asked: decisions.Question, now: float) -> decisions.Send | decisions.Refuse:
        """Return where to send a request now, or why it is refused."""
        times = self.times(asked.route)
        by_region: dict[str, list[endpoint_view.EndpointView]] = {}
        for view in self._by_service.get(asked.service, ()):
            if self._may_use(view, asked, now):
                by_region.setdefault(view.endpoint.region, []).append(view)
        if not by_region:
            return decisions.Refuse("no-endpoint", self._jittered(0.4))
        bests = {name: self._best(found, asked, times, now) for name, found in by_region.items()}
        chosen = self._among_regions(bests, asked, now)
        if chosen is not None:
            return chosen
        wait_s = min(best.wait_s for best in bests.values())
        return decisions.Refuse("overloaded", self._jittered(wait_s / 2.0), wait_s)

    def _best(self, views, asked, times, now):
        """Return the best candidate that fits, with its cost and the shortest wait of all."""
        best, best_cost, least_wait_s = None, float("inf"), float("inf")
        ranks = self._ranks(asked) if asked.key else None
        for view in views:
            found, cost = self._estimate(view, asked, times, ranks, now)
            least_wait_s = min(least_wait_s, found.wait_s)
            if cost < best_cost and self._fits(found, asked):
                best, best_cost = found, cost
        return _Best(best, best_cost, least_wait_s)

    def _among_regions(self, bests, asked, now):
        """Return the candidate of the region whose turn it is, or None when it has none."""
        split = self._split(asked.service)
        wished = min(bests, key=lambda name: bests[name].cost)
        if bests[wished].send is not None:
            split.wish(wished, now)
        position = ranking.position(asked.key) if asked.key else self._rng.random()
        order = [name for name in split.order(position) if name in bests]
        if self._region not in bests:
            order.append(wished)
        elif not order or bests[order[0]].send is None:
            order = [self._region]
        return bests[order[0]].send

    def _split(self, name):
        found = self._splits.get(name)
        if found is None:
            slots: dict[str, float] = {}
            for view in self._by_service.get(name, ()):
                item = view.endpoint
                slots[item.region] = slots.get(item.region, 0.0) + item.slots
            entries = {region: len(names) for region, names in self._entries_of_region.items()}
            shares = region_split.starting_shares(self._region, slots, entries)
            found = region_split.RegionSplit(self._region, shares, self._shift_speed)
            self._splits[name] = found
        return found

    def _jittered(self, delay_s):
        bounded_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, delay_s))
        return bounded_s * self._rng.uniform(0.8, 1.2)

    def _may_use(self, view, asked, now):
        item = view.endpoint
        if item.name in asked.tried or item.name in self._drained or not view.is_usable(now):
            return False
        if asked.route.regions and item.region not in asked.route.regions:
            return False
        return not view.is_cold(now) or self._may_use_cold(view, now)

    def _may_use_cold(self, view, now):
        known = self._services.get(view.endpoint.service)
        rate = known.cold_rate if known else 1.0
        near = self._entries_of_region.get(view.endpoint.region) or (self.name,)
        if self.name not in near:
            return False
        if not cold_quota.senders(view.endpoint.name, rate, near, self.name):
            return False
        return self._cold.may_send(view.endpoint.name, now)

    def _estimate(self, view, asked, times, ranks, now):
        item = view.endpoint
        away = item.region != self._region
        warm = not times.has_affinity or (bool(asked.key) and view.has_object(asked.digest))
        is_cold = view.is_cold(now)
        wait_s = view.wait_s(times.expected_s(warm), now)
        service_s = times.expected_s(warm) * view.slowness(now)
        if is_cold:
            service_s *= COLD_SLOWNESS
        trip_s = REGION_TRIP_S if away else 0.0
        found = decisions.Send(view, wait_s, service_s, warm, away, is_cold)
        cost = costs.time_cost(wait_s + service_s + trip_s, asked.objective_s, asked.left_s)
        cost += view.error_part(now)
        if away:
            cost += costs.REGION
        elif item.failure_domain != self._domain:
            cost += costs.DOMAIN
        if not warm:
            cost += costs.COLD_RUN
        if ranks is not None:
            cost += RANK_COST * min(MAX_RANK, ranks[item.name])
        else:
            cost += RANK_COST * MAX_RANK * self._rng.random()
        return found, cost

    def _ranks(self, asked):
        """Return the rank of each endpoint among those of its region, 0 for the preferred one."""
        found = self._ranked.get((asked.service, asked.key))
        if found is None:
            if len(self._ranked) >= MAX_RANKED_KEYS:
                self._ranked.clear()
            by_region: dict[str, list[str]] = {}
            for view in self._by_service.get(asked.service, ()):
                by_region.setdefault(view.endpoint.region, []).append(view.endpoint.name)
            found = self._ranked[(asked.service, asked.key)] = {
                name: rank
                for names in by_region.values()
                for rank, name in enumerate(ranking.order(asked.key, names))
            }
        return found

    def _fits(self, found, asked):
        if found.wait_s + found.service_s >= asked.left_s:
            return found.wait_s <= 0.0 and asked.left_s > 0.5 * found.service_s
        part = WAIT_PARTS[min(asked.route.priority, len(WAIT_PARTS) - 1)]
        return found.wait_s <= part * asked.route.objective_ms / 1000.0

    def started(self, sent: decisions.Send, number: int, now: float) -> None:
        """Note that a request was sent as chosen."""
        sent.view.started(number, sent.wait_s + sent.service_s, now)
        self._split(sent.view.endpoint.service).sent(sent.view.endpoint.region)
        if sent.cold:
            self._cold.sent(sent.view.endpoint.name, now)

    def answered(
        self,
        sent: decisions.Send,
        asked: decisions.Question,
        elapsed_s: float,
        load: endpoint_view.Load | None,
        is_error: bool,
        now: float,
    ) -> None:
        """Take the answer to a request after ``elapsed_s``."""
        view, times = sent.view, self.times(asked.route)
        expected_s = sent.wait_s + sent.service_s
        view.answered(elapsed_s / max(0.05, expected_s), is_error, now)
        if load is not None:
            view.reported(load, now)
        if is_error:
            return
        worked_s = max(0.001, elapsed_s - sent.wait_s)
        if not sent.cold and view.slowness(now) < 1.5:
            if sent.warm and times.has_affinity:
                view.found(times.seems_warm(worked_s))
            times.observe(worked_s, sent.warm)
        if asked.key and times.has_affinity:
            view.handled(asked.digest, now)

    def learned(
        self, view: endpoint_view.EndpointView, key: str, load: endpoint_view.Load | None
    ) -> observation.Observation:
        """Return what other entries may learn from an answer; ``key``: of the object handled."""
        return observation.Observation(_view_digest(view), ranking.digest(key) if key else 0, load)

    def observed(self, found: observation.Observation, now: float) -> None:
        """Take what another entry has learned a moment ago."""
        view = self._by_digest.get(found.endpoint)
        if view is None:
            return
        if found.load is not None:
            view.reported(found.load, now)
        if found.object_digest:
            view.handled(found.object_digest, now)


def _view_digest(view):
    return ranking.digest(f"{view.endpoint.name}\n{view.endpoint.started_ms}")
