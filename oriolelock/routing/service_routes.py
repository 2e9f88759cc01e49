"""
oriolelock.routing.service_routes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Endpoints of one service with their load, health and shares of work.
"""

import collections.abc

from oriolelock.model import drain, endpoint
from oriolelock.routing import drains, ejection, load, service_load, shift, slow_start

__all__ = ["Route", "ServiceRoutes"]

DRAIN_REPORT_TTL_S = 30.0
RECENT_REPORT_S = 5.0


class Route:
    """An endpoint and the share of work that it may receive.

    ``ramp_share`` is limited by a slow start, ``work_share`` by drains and the endpoint's state.
    """

    def __init__(self, endpoint_load: load.EndpointLoad, ramp_started_at: float | None):
        self.load = endpoint_load
        self.name = endpoint_load.endpoint.name
        self.ramp_started_at = ramp_started_at
        # The last known one: the list may omit it for a time.
        self.started_ms = endpoint_load.endpoint.started_ms
        self.drains: tuple[drain.Drain, ...] = ()
        self.drain_reported_at = float("-inf")
        # Both shares change slowly and are refreshed on each tick.
        self.ramp_share = 1.0
        self.work_share = 1.0

    def is_same_start(self, listed: endpoint.Endpoint) -> bool:
        """Return whether ``listed``, of the same name, can be the process that is known here."""
        is_start_known = self.started_ms and listed.started_ms
        return listed.address == self.load.endpoint.address and (
            not is_start_known or listed.started_ms == self.started_ms
        )

    def set_endpoint(self, listed: endpoint.Endpoint) -> None:
        """Take over what the list says of the same start."""
        self.load.endpoint = listed
        self.started_ms = listed.started_ms or self.started_ms

    def restart(self, now: float) -> None:
        """Forget what was observed of the process that has ended, and begin a slow start."""
        self.load.restart(now)
        self.start_ramp(now)

    def start_ramp(self, now: float) -> None:
        """Begin a slow start."""
        self.ramp_started_at = now
        self.refresh_ramp(now)

    def refresh_ramp(self, now: float) -> None:
        """Recompute the slow start share."""
        is_cold = self.load.state == "cold"
        if is_cold and self.ramp_started_at is None:
            self.ramp_started_at = now
        self.ramp_share = slow_start.share(self.ramp_started_at, is_cold, now)
        if self.ramp_share >= 1.0 and not is_cold:
            self.ramp_started_at = None

    def refresh(self, now: float, wall_s: float) -> None:
        """Recompute both shares."""
        self.refresh_ramp(now)
        self.work_share = 1.0
        if self.drains:
            self.work_share = drains.endpoint_share(self.drains, wall_s)
        if self.load.endpoint.state != "live" or now - self.drain_reported_at < DRAIN_REPORT_TTL_S:
            self.work_share = 0.0


class ServiceRoutes:
    """Routes of one service: ``routes`` by endpoint name, ``by_region`` by region."""

    def __init__(self, name: str):
        self.name = name
        self.averages = service_load.ServiceLoad()
        self.ejector = ejection.Ejector()
        self.routes: dict[str, Route] = {}
        self.by_region: dict[str, list[Route]] = {}
        self.shift: shift.Shift | None = None
        self.no_spill_regions: set[str] = set()
        self.in_flight_limit = 0
        self.in_flight_limit_at = float("-inf")

    def configure(
        self,
        endpoints: collections.abc.Iterable[endpoint.Endpoint],
        planned_drains: collections.abc.Collection[drain.Drain],
        is_first: bool,
        now: float,
        wall_s: float,
    ) -> list[str]:
        """Keep exactly these endpoints; new ones start their ramp now.

        ``is_first``: all are new to this entry, and start their ramp only if the list says that
        they have just started. An endpoint that has started again under its name keeps nothing
        and starts its ramp now. Returns the names of these.
        """
        routes, by_region, restarted = {}, {}, []
        for endpoint_cfg in endpoints:
            route = self.routes.get(endpoint_cfg.name)
            if route is None:
                started_at = (
                    slow_start.find_start(endpoint_cfg.started_ms, now, wall_s) if is_first else now
                )
                route = Route(load.EndpointLoad(endpoint_cfg, self.averages), started_at)
            elif not route.is_same_start(endpoint_cfg):
                route = Route(load.EndpointLoad(endpoint_cfg, self.averages), now)
                self.ejector.forget(route.name)
                restarted.append(route.name)
            route.set_endpoint(endpoint_cfg)
            route.drains = drains.find_covering(planned_drains, endpoint_cfg)
            routes[endpoint_cfg.name] = route
            by_region.setdefault(endpoint_cfg.region, []).append(route)
        self.routes, self.by_region = routes, by_region
        self.ejector.configure(routes)
        return restarted

    def refresh(self, now: float, wall_s: float) -> None:
        """Recompute the shares of all routes."""
        for route in self.routes.values():
            route.refresh(now, wall_s)

    def capacity(self) -> dict[str, float]:
        """Return the number of slots per region at endpoints that may receive new work."""
        return {
            region: sum(r.load.endpoint.slots for r in routes if self.accepts_new_work(r))
            for region, routes in self.by_region.items()
        }

    def accepts_new_work(self, route: Route) -> bool:
        """Return whether an endpoint may receive new work."""
        return route.work_share > 0.0 and route.name not in self.ejector.ejected

    def cold_regions(self) -> set[str]:
        """Return the regions where at least half of the available endpoints are cold or ramping."""
        cold = set()
        for region, routes in self.by_region.items():
            available = [r for r in routes if self.accepts_new_work(r)]
            if available and sum(r.ramp_share < 1.0 for r in available) * 2 >= len(available):
                cold.add(region)
        return cold

    def measured_regions(self, now: float) -> set[str]:
        """Return the regions where at least half of the available endpoints reported recently."""
        measured = set()
        for region, routes in self.by_region.items():
            available = [r for r in routes if self.accepts_new_work(r)]
            recent = sum(now - r.load.reported_at <= RECENT_REPORT_S for r in available)
            if available and recent * 2 >= len(available):
                measured.add(region)
        return measured
