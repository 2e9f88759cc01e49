"""
oriolelock.routing.service_routes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The endpoints of one service and what is known about them.
"""

import collections.abc

from oriolelock.model import drain, endpoint
from oriolelock.routing import drains, ejection, load, service_load, shift, slow_start

__all__ = ["Route", "ServiceRoutes"]

DRAINING_TTL_S = 30.0
MEASURED_AGE_S = 5.0


class Route:
    """An endpoint with the shares of work that it may get."""

    def __init__(self, view: load.EndpointLoad, ramp_from: float | None):
        self.view = view
        self.name = view.endpoint.name
        self.ramp_from = ramp_from
        self.drains: tuple[drain.Drain, ...] = ()
        self.draining_at = float("-inf")
        # Both are refreshed on each tick, because they change slowly.
        self.ramp = 1.0
        self.drained = 1.0

    def start_ramp(self, now: float) -> None:
        """Begin a slow start."""
        self.ramp_from = now
        self.refresh_ramp(now)

    def refresh_ramp(self, now: float) -> None:
        """Recompute the share of a slow start."""
        is_cold = self.view.state == "cold"
        if is_cold and self.ramp_from is None:
            self.ramp_from = now
        self.ramp = slow_start.share(self.ramp_from, is_cold, now)
        if self.ramp >= 1.0 and not is_cold:
            self.ramp_from = None

    def refresh(self, now: float, wall_s: float) -> None:
        """Recompute the shares."""
        self.refresh_ramp(now)
        self.drained = 1.0
        if self.drains:
            self.drained = drains.endpoint_share(self.drains, wall_s)
        if self.view.endpoint.state != "live" or now - self.draining_at < DRAINING_TTL_S:
            self.drained = 0.0


class ServiceRoutes:
    """``by_region`` holds the routes of each region."""

    def __init__(self, name: str):
        self.name = name
        self.shared = service_load.ServiceLoad()
        self.ejector = ejection.Ejector()
        self.routes: dict[str, Route] = {}
        self.by_region: dict[str, list[Route]] = {}
        self.shift: shift.Shift | None = None
        self.no_spill: set[str] = set()
        self.room = 0
        self.room_at = float("-inf")

    def configure(
        self,
        found: collections.abc.Iterable[endpoint.Endpoint],
        planned: collections.abc.Collection[drain.Drain],
        ramp_from: float | None,
    ) -> None:
        """Keep exactly these endpoints; ``ramp_from`` is the ramp's begin for new ones."""
        routes, by_region = {}, {}
        for item in found:
            route = self.routes.get(item.name)
            if route is None:
                route = Route(load.EndpointLoad(item, self.shared), ramp_from)
            route.view.endpoint = item
            route.drains = drains.matching(planned, item)
            routes[item.name] = route
            by_region.setdefault(item.region, []).append(route)
        self.routes, self.by_region = routes, by_region
        self.ejector.configure(routes)

    def refresh(self, now: float, wall_s: float) -> None:
        """Recompute the shares of all routes."""
        for route in self.routes.values():
            route.refresh(now, wall_s)

    def capacity(self) -> dict[str, float]:
        """Return the slots of each region that may get new work."""
        return {
            region: sum(r.view.endpoint.slots for r in routes if self.is_open(r))
            for region, routes in self.by_region.items()
        }

    def is_open(self, route: Route) -> bool:
        """Whether an endpoint may get new work."""
        return route.drained > 0.0 and route.name not in self.ejector.out

    def cold_regions(self) -> set[str]:
        """Return the regions where most open endpoints are cold or on their ramp."""
        result = set()
        for region, routes in self.by_region.items():
            usable = [r for r in routes if self.is_open(r)]
            if usable and sum(r.ramp < 1.0 for r in usable) * 2 >= len(usable):
                result.add(region)
        return result

    def measured_regions(self, now: float) -> set[str]:
        """Return the regions where most open endpoints have reported lately."""
        result = set()
        for region, routes in self.by_region.items():
            usable = [r for r in routes if self.is_open(r)]
            recent = sum(now - r.view.reported_at <= MEASURED_AGE_S for r in usable)
            if usable and recent * 2 >= len(usable):
                result.add(region)
        return result
