"""
oriolelock.routing.router
~~~~~~~~~~~~~~~~~~~~~~~~~

    Chooses the endpoint of each attempt: the region is chosen by the applied traffic shares, and
    work that the own region cannot take spills to others within their headroom and bandwidth.
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
# From this occupancy of the local endpoint on, a region with headroom serves a request sooner.
SPILL_OCCUPANCY = 1.0
# The scheduler reads the in-flight limit several times per request, so it is cached; it changes
# only as fast as the endpoint limits.
IN_FLIGHT_LIMIT_TTL_S = 0.01


class Router:
    """Routing state of one entry; not thread-safe. Times are monotonic seconds."""

    def __init__(self, name: str, region: str, picker: str = "p2c"):
        self.name = name
        self.region = region
        self.limits = limiter.Limiter()
        self._pick = pickers.find_picker(picker)
        self._services: dict[str, service_routes.ServiceRoutes] = {}
        self._buckets: dict[str, bandwidth.TokenBucket] = {}
        self._cfg = configuration.EMPTY
        self._preset = None
        self._entries: list[str] = [name]
        # Names of the entries outside each region, which share its headroom.
        self._spilling_entries: dict[str, list[str]] = {}
        self._wall_offset_s = 0.0
        self._ticked_at = float("-inf")
        self._control_contact_at = float("-inf")
        self._rounding_offsets: dict[str, float] = {}
        self._is_configured = False

    def configure(self, cfg: configuration.Configuration, now: float, wall_s: float) -> None:
        """Apply a configuration received from control."""
        self._cfg = cfg
        self._preset = cfg.preset_in_force()
        entries = [m for m in cfg.members.values() if m.role == "entry"]
        self._entries = sorted({m.name for m in entries} | {self.name})
        self._spilling_entries = {
            region: sorted({m.name for m in entries if m.region != region} | {self.name})
            for region in {e.region for e in cfg.endpoints.values()} - {self.region}
        }
        self._configure_services(cfg, now, wall_s)
        self._configure_buckets(cfg, entries, now)
        self.record_control_contact(now)
        self._is_configured = self._is_configured or bool(cfg.endpoints)
        self._wall_offset_s = wall_s - now
        self._ticked_at = float("-inf")
        self.tick(now, wall_s)

    def _configure_services(self, cfg, now, wall_s):
        by_service: dict[str, list] = {}
        for endpoint_cfg in cfg.endpoints.values():
            by_service.setdefault(endpoint_cfg.service, []).append(endpoint_cfg)
        # Endpoints in the first configuration are unknown to this entry but few have just started.
        is_first = not self._is_configured
        for name in [name for name in self._services if name not in by_service]:
            del self._services[name]
        for name, service_endpoints in by_service.items():
            routes = self._services.setdefault(name, service_routes.ServiceRoutes(name))
            restarted = routes.configure(
                service_endpoints, cfg.drains.values(), is_first, now, wall_s
            )
            for restarted_name in restarted:
                self.limits.forget(restarted_name)
        self.limits.configure({e.name: e.slots for e in cfg.endpoints.values()})

    def _configure_buckets(self, cfg, entries, now):
        if self._preset is None:
            return
        entry_count = max(1, sum(m.region == self.region for m in entries))
        rate = bandwidth.rate_bytes_s(self._preset.link_mbits, self._preset.link_share, entry_count)
        for region in {e.region for e in cfg.endpoints.values()} - {self.region}:
            if region in self._buckets:
                self._buckets[region].set_rate(rate, now)
            else:
                self._buckets[region] = bandwidth.TokenBucket(rate, now)

    def record_control_contact(self, now: float) -> None:
        """Record a heartbeat or delta from control; without them traffic shares do not change."""
        self._control_contact_at = now

    def tick(self, now: float, wall_s: float) -> None:
        """Refresh drains, slow starts and traffic shifts.

        To be called at least every 100 ms; ``choose`` calls it if it is overdue.
        """
        self._wall_offset_s = wall_s - now
        self._ticked_at = now
        self._rounding_offsets = {
            region: spill.rounding_offset(names.index(self.name), len(names), wall_s)
            for region, names in self._spilling_entries.items()
        }
        for name, routes in self._services.items():
            routes.refresh(now, wall_s)
            self._update_shift(name, routes, now, wall_s)

    def _update_shift(self, name, routes, now, wall_s):
        policy = self._preset.find_service(name) if self._preset else None
        weights = dict(policy.region_weights) if policy else {}
        capacity = routes.capacity()
        routes.no_spill_regions = set()
        for region in capacity:
            drain_share = drains.region_share(self._cfg.drains.values(), region, wall_s)
            weights[region] = weights.get(region, 1.0) * drain_share
            # Never spill into a region that is drained or has weight 0 in the preset.
            if drain_share < 1.0 or weights[region] <= 0.0:
                routes.no_spill_regions.add(region)
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
            routes.shift.step(target, limits, cold, measured, self._control_contact_at, now)

    def choose(
        self,
        service: str,
        operation: str,
        size_estimate: int,
        now: float,
        rng,
        exclude: collections.abc.Collection[str] = (),
    ) -> choice.Choice | None:
        """Return the endpoint for an attempt, or None if no endpoint may take it now.

        ``size_estimate``: bytes of request and response; ``exclude``: names of endpoints already
        tried. If the choice is used, call ``started`` before releasing the lock.
        """
        if now - self._ticked_at >= TICK_S:
            self.tick(now, now + self._wall_offset_s)
        routes = self._services.get(service)
        if routes is None:
            return None
        policy = self._preset.find_service(service) if self._preset else None
        operation_policy = policy.find_operation(operation) if policy else None
        idempotent = operation_policy is not None and operation_policy.idempotent
        attempt = selection.Attempt(operation, idempotent, size_estimate, now, rng, exclude)
        target_region = routes.shift.sample(rng)
        chosen = None
        if target_region != self.region:
            chosen = self._choose_remote(routes, [target_region], attempt)
        if not exclude:
            routes.shift.record_sent(
                target_region if chosen or target_region == self.region else self.region
            )
        return chosen or self._choose_local_or_spill(routes, attempt)

    def _choose_local_or_spill(self, routes, attempt):
        local = self._choose_local(routes, attempt, within_ramps=True)
        if local:
            endpoint_load = routes.routes[local.endpoint.name].load
            if local.is_probe or endpoint_load.occupancy(attempt.now) < SPILL_OCCUPANCY:
                return local
        headroom = {
            region: self._spill_headroom(routes, region, attempt.now)
            for region in routes.by_region
            if region != self.region and region not in routes.no_spill_regions
        }
        regions = spill.order_regions(headroom, attempt.rng)
        if local:
            return self._choose_remote(routes, regions, attempt) or local
        # Those that are left here may all be in a slow start; others elsewhere are warm.
        return (
            self._choose_remote(routes, regions, attempt, within_ramps=True)
            or self._choose_local(routes, attempt)
            or self._choose_remote(routes, regions, attempt)
        )

    def _choose_local(self, routes, attempt, within_ramps=False):
        return selection.choose_in(
            routes, self.region, False, attempt, self.limits, self._pick, within_ramps
        )

    def _choose_remote(self, routes, regions, attempt, within_ramps=False):
        for region in regions:
            bucket = self._buckets.get(region)
            if bucket is None or not bucket.can_send(attempt.size, attempt.now):
                continue
            has_headroom = self._spill_headroom(routes, region, attempt.now) > 0
            if not has_headroom and selection.find_probe(routes, region, attempt) is None:
                continue
            chosen = selection.choose_in(
                routes, region, True, attempt, self.limits, self._pick, within_ramps
            )
            if chosen:
                return chosen
        return None

    def _spill_headroom(self, routes, region, now):
        """Return how many more requests this entry may send to another region."""
        endpoint_loads = [
            r.load for r in routes.by_region.get(region, ()) if routes.accepts_new_work(r)
        ]
        if region not in self._spilling_entries:
            return 0
        entry_count = len(self._spilling_entries[region])
        limit = spill.max_in_flight(
            endpoint_loads, entry_count, self._rounding_offsets[region], now
        )
        return limit - sum(endpoint_load.in_flight for endpoint_load in endpoint_loads)

    def started(self, chosen: choice.Choice, now: float) -> None:
        """Record that an attempt was sent; ``finished`` must follow."""
        routes, route = self._find_route(chosen)
        if route is None:
            return
        route.load.in_flight += 1
        if chosen.is_probe:
            routes.ejector.record_probe_start(route.name, now)
        if chosen.is_remote and chosen.endpoint.region in self._buckets:
            self._buckets[chosen.endpoint.region].consume(chosen.reserved_bytes, now)

    def finished(self, chosen: choice.Choice, res: result.Result, now: float) -> None:
        """Record the result of an attempt."""
        if chosen.is_remote and chosen.endpoint.region in self._buckets:
            self._buckets[chosen.endpoint.region].consume(res.size - chosen.reserved_bytes, now)
        routes, route = self._find_route(chosen)
        if route is None:
            return
        in_flight = route.load.in_flight
        route.load.in_flight = max(0, in_flight - 1)
        feedback.apply(routes, route, self.limits, chosen, res, in_flight, now)
        if res.report:
            self._apply_report(routes, route, res.report, now)

    def record_refused_poll(self, endpoint_name: str, now: float) -> None:
        """Record that nothing listens at an endpoint; one that is ejected already stays so."""
        endpoint_cfg = self._cfg.endpoints.get(endpoint_name)
        routes = self._services.get(endpoint_cfg.service) if endpoint_cfg else None
        if routes is None or endpoint_name in routes.ejector.ejected:
            return
        routes.routes[endpoint_name].restart(now)
        self.limits.forget(endpoint_name)
        routes.ejector.record_refusal(endpoint_name, now)

    def record_restart(self, restarted: endpoint.Endpoint, now: float) -> None:
        """Record that an endpoint has probably started again at its address."""
        routes = self._services.get(restarted.service)
        route = routes.routes.get(restarted.name) if routes else None
        if route is None or route.load.endpoint.address != restarted.address:
            return
        route.restart(now)
        routes.ejector.record_restart(route.name)
        self.limits.forget(route.name)

    def _find_route(self, chosen):
        """Return the routes of the service, and the route if the same start is still listed."""
        routes = self._services.get(chosen.endpoint.service)
        route = routes.routes.get(chosen.endpoint.name) if routes else None
        return routes, route if route and route.load is chosen.load else None

    def apply_load_report(
        self, endpoint_name: str, load_report: result.LoadReport, now: float
    ) -> None:
        """Apply a polled load report; unknown endpoints are ignored."""
        endpoint_cfg = self._cfg.endpoints.get(endpoint_name)
        routes = self._services.get(endpoint_cfg.service) if endpoint_cfg else None
        if routes and endpoint_name in routes.routes:
            self._apply_report(routes, routes.routes[endpoint_name], load_report, now)

    def _apply_report(self, routes, route, load_report, now):
        was_cold = route.load.state == "cold"
        if not route.load.apply_report(load_report, now):
            return
        is_readmitted = routes.ejector.record_load_report(route.name, now - load_report.age_s, now)
        if is_readmitted or (load_report.state == "cold" and not was_cold):
            route.start_ramp(now)
        if load_report.state == "draining":
            route.drain_reported_at = now
            route.work_share = 0.0
        elif now - load_report.age_s > route.drain_reported_at:
            route.drain_reported_at = float("-inf")

    def in_flight_limit(self, service: str, now: float) -> int:
        """Return how many requests of a service this entry may have in flight."""
        routes = self._services.get(service)
        if routes is None:
            return 0
        if now - routes.in_flight_limit_at >= IN_FLIGHT_LIMIT_TTL_S:
            routes.in_flight_limit, routes.in_flight_limit_at = (
                self._compute_in_flight_limit(routes, now),
                now,
            )
        return routes.in_flight_limit

    def endpoints_with_stale_load(self, now: float, max_age_s: float) -> list[endpoint.Endpoint]:
        """Return the endpoints whose last load report is older than ``max_age_s``."""
        return [
            route.load.endpoint
            for routes in self._services.values()
            for route in routes.routes.values()
            if now - route.load.reported_at > max_age_s
        ]

    def has_usable_endpoint(self, service: str) -> bool:
        """Return whether any endpoint of a service may receive new work or a probe."""
        routes = self._services.get(service)
        return routes is not None and any(r.work_share > 0.0 for r in routes.routes.values())

    def _compute_in_flight_limit(self, routes, now):
        limit = sum(
            self.limits.limit(route.name, now)
            for route in routes.by_region.get(self.region, ())
            if routes.accepts_new_work(route)
        )
        for region, region_routes in routes.by_region.items():
            if region != self.region:
                in_flight = sum(route.load.in_flight for route in region_routes)
                limit += max(in_flight, in_flight + self._spill_headroom(routes, region, now))
        return limit

    def dump(self) -> dict:
        """Return the routing state, for the state dump."""
        return {
            "entries": len(self._entries),
            "limits": self.limits.dump(),
            "link_bytes_left": {r: round(b.tokens()) for r, b in self._buckets.items()},
            "services": {name: _dump_service(r) for name, r in self._services.items()},
        }


def _dump_service(routes):
    return {
        "applied": routes.shift.applied,
        "ejected": sorted(routes.ejector.ejected),
        "endpoints": {
            route.name: {
                "in_flight": route.load.in_flight,
                "state": route.load.state,
                "trust": round(route.load.trust, 3),
                "ramp": round(route.ramp_share, 2),
                "drained": round(route.work_share, 2),
            }
            for route in routes.routes.values()
        },
    }
