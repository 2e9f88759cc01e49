"""
oriolelock.routing.router
~~~~~~~~~~~~~~~~~~~~~~~~~

    Chooses the endpoint of each attempt: own region first, then the preset's weights, then
    spill within the headroom and bandwidth of other regions.
"""

import collections.abc

from oriolelock.admission import limiter
from oriolelock.model import configuration, endpoint
from oriolelock.routing import (
    bandwidth,
    choice,
    drains,
    feedback,
    pickers,
    result,
    selection,
    service_routes,
    shift,
    spill,
)

__all__ = ["Router"]

TICK_S = 0.1
# Above this share of the slots in use, another region with headroom serves sooner.
SPILL_OCCUPANCY = 1.0
# The scheduler asks several times per request; the answer changes as fast as limits do.
ROOM_TTL_S = 0.01


class Router:
    """Routing state of one entry; not thread-safe. Times are monotonic seconds."""

    def __init__(self, name: str, region: str, picker: str = "p2c"):
        self.name = name
        self.region = region
        self.limits = limiter.Limiter()
        self._pick = pickers.find_picker(picker)
        self._services: dict[str, service_routes.ServiceRoutes] = {}
        self._buckets: dict[str, bandwidth.Bucket] = {}
        self._cfg = configuration.EMPTY
        self._preset = None
        self._entries: list[str] = [name]
        # Region to the entries outside of it, which share its headroom.
        self._outside: dict[str, list[str]] = {}
        self._wall_offset_s = 0.0
        self._ticked_at = float("-inf")
        self._control_heard_at = float("-inf")
        self._rounding: dict[str, float] = {}
        self._is_configured = False

    def configure(self, cfg: configuration.Configuration, now: float, wall_s: float) -> None:
        """Use a configuration that control has sent."""
        self._cfg = cfg
        self._preset = cfg.preset_in_force()
        entries = [m for m in cfg.members.values() if m.role == "entry"]
        self._entries = sorted({m.name for m in entries} | {self.name})
        self._outside = {
            region: sorted({m.name for m in entries if m.region != region} | {self.name})
            for region in {e.region for e in cfg.endpoints.values()} - {self.region}
        }
        self._configure_services(cfg, now)
        self._configure_buckets(cfg, entries, now)
        self.control_heard(now)
        self._is_configured = self._is_configured or bool(cfg.endpoints)
        self._wall_offset_s = wall_s - now
        self._ticked_at = float("-inf")
        self.tick(now, wall_s)

    def _configure_services(self, cfg, now):
        by_service: dict[str, list] = {}
        for item in cfg.endpoints.values():
            by_service.setdefault(item.service, []).append(item)
        # At the start of the entry the endpoints are unknown to it, but not new.
        ramp_from = now if self._is_configured else None
        for name in [name for name in self._services if name not in by_service]:
            del self._services[name]
        for name, found in by_service.items():
            routes = self._services.setdefault(name, service_routes.ServiceRoutes(name))
            routes.configure(found, cfg.drains.values(), ramp_from)
        self.limits.configure({e.name: e.slots for e in cfg.endpoints.values()})

    def _configure_buckets(self, cfg, entries, now):
        if self._preset is None:
            return
        count = max(1, sum(m.region == self.region for m in entries))
        rate = bandwidth.rate_bytes_s(self._preset.link_mbits, self._preset.link_share, count)
        for region in {e.region for e in cfg.endpoints.values()} - {self.region}:
            if region in self._buckets:
                self._buckets[region].set_rate(rate, now)
            else:
                self._buckets[region] = bandwidth.Bucket(rate, now)

    def control_heard(self, now: float) -> None:
        """Note a heartbeat or delta from control; without it no shift moves."""
        self._control_heard_at = now

    def tick(self, now: float, wall_s: float) -> None:
        """Refresh what changes slowly: drains, ramps, shifts. At least each 100 ms; ``choose``
        does it when the daemon does not."""
        self._wall_offset_s = wall_s - now
        self._ticked_at = now
        self._rounding = {
            region: spill.offset(names.index(self.name), len(names), wall_s)
            for region, names in self._outside.items()
        }
        for name, routes in self._services.items():
            routes.refresh(now, wall_s)
            self._shift(name, routes, now, wall_s)

    def _shift(self, name, routes, now, wall_s):
        policy = self._preset.find_service(name) if self._preset else None
        weights = dict(policy.region_weights) if policy else {}
        capacity = routes.capacity()
        routes.no_spill = set()
        for region in capacity:
            part = drains.region_share(self._cfg.drains.values(), region, wall_s)
            weights[region] = weights.get(region, 1.0) * part
            # Nothing spills into a region that is drained, or that the preset keeps free.
            if part < 1.0 or weights[region] <= 0.0:
                routes.no_spill.add(region)
        target = shift.target_weights(self.region, weights, capacity)
        if routes.shift is None:
            routes.shift = shift.Shift(target, now)
        elif self._preset:
            limits = shift.Limits(
                self._preset.shift_cap,
                self._preset.cold_shift_cap,
                self._preset.shift_interval_ms / 1000.0,
            )
            cold, measured = routes.cold_regions(), routes.measured_regions(now)
            routes.shift.step(target, limits, cold, measured, self._control_heard_at, now)

    def choose(
        self,
        service: str,
        operation: str,
        size_estimate: int,
        now: float,
        rng,
        exclude: collections.abc.Collection[str] = (),
    ) -> choice.Choice | None:
        """Return where to send an attempt, or None when no endpoint may take it now.

        ``size_estimate``: bytes of request and response. ``exclude``: names of endpoints tried
        before. ``started`` must follow under the same lock if the choice is used.
        """
        if now - self._ticked_at >= TICK_S:
            self.tick(now, now + self._wall_offset_s)
        routes = self._services.get(service)
        if routes is None:
            return None
        policy = self._preset.find_service(service) if self._preset else None
        known = policy.find_operation(operation) if policy else None
        idempotent = known is not None and known.idempotent
        attempt = selection.Attempt(operation, idempotent, size_estimate, now, rng, exclude)
        wanted = routes.shift.sample(rng)
        found = None
        if wanted != self.region:
            found = self._choose_remote(routes, [wanted], attempt)
        if not exclude:
            routes.shift.sent(wanted if found or wanted == self.region else self.region)
        return found or self._choose_near(routes, attempt)

    def _choose_near(self, routes, attempt):
        local = selection.choose_in(routes, self.region, False, attempt, self.limits, self._pick)
        if local:
            view = routes.routes[local.endpoint.name].view
            if local.probe or view.occupancy(attempt.now) < SPILL_OCCUPANCY:
                return local
        room = {
            region: self._room(routes, region, attempt.now)
            for region in routes.by_region
            if region != self.region and region not in routes.no_spill
        }
        regions = spill.order(room, attempt.rng)
        return self._choose_remote(routes, regions, attempt) or local

    def _choose_remote(self, routes, regions, attempt):
        for region in regions:
            bucket = self._buckets.get(region)
            if bucket is None or not bucket.has(attempt.size, attempt.now):
                continue
            has_room = self._room(routes, region, attempt.now) > 0
            if not has_room and selection.find_probe(routes, region, attempt) is None:
                continue
            found = selection.choose_in(routes, region, True, attempt, self.limits, self._pick)
            if found:
                return found
        return None

    def _room(self, routes, region, now):
        """Return how many more requests this entry may have in another region."""
        usable = [r.view for r in routes.by_region.get(region, ()) if routes.is_open(r)]
        if region not in self._outside:
            return 0
        sharing = len(self._outside[region])
        limit = spill.allowed(usable, sharing, self._rounding[region], now)
        return limit - sum(view.in_flight for view in usable)

    def started(self, used: choice.Choice, now: float) -> None:
        """Note that an attempt was sent; ``finished`` must follow."""
        routes = self._services.get(used.endpoint.service)
        route = routes.routes.get(used.endpoint.name) if routes else None
        if route is None:
            return
        route.view.in_flight += 1
        if used.probe:
            routes.ejector.probe_started(route.name, now)
        if used.remote and used.endpoint.region in self._buckets:
            self._buckets[used.endpoint.region].spend(used.reserved, now)

    def finished(self, used: choice.Choice, res: result.Result, now: float) -> None:
        """Note how an attempt ended."""
        if used.remote and used.endpoint.region in self._buckets:
            self._buckets[used.endpoint.region].spend(res.size - used.reserved, now)
        routes = self._services.get(used.endpoint.service)
        route = routes.routes.get(used.endpoint.name) if routes else None
        if route is None:
            return
        in_flight = route.view.in_flight
        route.view.in_flight = max(0, in_flight - 1)
        feedback.apply(routes, route, self.limits, used, res, in_flight, now)
        if res.report:
            self._note_report(routes, route, res.report, now)

    def reported(self, endpoint_name: str, news: result.LoadReport, now: float) -> None:
        """Take a load report that was asked for; unknown endpoints are ignored."""
        item = self._cfg.endpoints.get(endpoint_name)
        routes = self._services.get(item.service) if item else None
        if routes and endpoint_name in routes.routes:
            self._note_report(routes, routes.routes[endpoint_name], news, now)

    def _note_report(self, routes, route, news, now):
        if not route.view.report(news, now):
            return
        if routes.ejector.heard(route.name, now - news.age_s, now):
            route.start_ramp(now)
        if news.state == "draining":
            route.draining_at = now
            route.drained = 0.0
        elif now - news.age_s > route.draining_at:
            route.draining_at = float("-inf")

    def room(self, service: str, now: float) -> int:
        """Return how many requests of a service may be in flight from this entry."""
        routes = self._services.get(service)
        if routes is None:
            return 0
        if now - routes.room_at >= ROOM_TTL_S:
            routes.room, routes.room_at = self._count_room(routes, now), now
        return routes.room

    def unreported(self, now: float, max_age_s: float) -> list[endpoint.Endpoint]:
        """Return the endpoints whose last load report is older than ``max_age_s``."""
        return [
            route.view.endpoint
            for routes in self._services.values()
            for route in routes.routes.values()
            if now - route.view.reported_at > max_age_s
        ]

    def has_open(self, service: str) -> bool:
        """Return whether any endpoint of a service may get new work, or may be probed soon."""
        routes = self._services.get(service)
        return routes is not None and any(r.drained > 0.0 for r in routes.routes.values())

    def _count_room(self, routes, now):
        total = sum(
            self.limits.limit(route.name, now)
            for route in routes.by_region.get(self.region, ())
            if routes.is_open(route)
        )
        for region, found in routes.by_region.items():
            if region != self.region:
                used = sum(route.view.in_flight for route in found)
                total += max(used, used + self._room(routes, region, now))
        return total

    def dump(self) -> dict:
        """Return the state for a state dump."""
        return {
            "entries": len(self._entries),
            "limits": self.limits.dump(),
            "link_bytes_left": {r: round(b.tokens()) for r, b in self._buckets.items()},
            "services": {name: _dump_service(r) for name, r in self._services.items()},
        }


def _dump_service(routes):
    return {
        "applied": routes.shift.applied,
        "ejected": sorted(routes.ejector.out),
        "endpoints": {
            route.name: {
                "in_flight": route.view.in_flight,
                "state": route.view.state,
                "trust": round(route.view.trust, 3),
                "ramp": round(route.ramp, 2),
                "drained": round(route.drained, 2),
            }
            for route in routes.routes.values()
        },
    }
