"""
oriolelock.bench.policy.scene
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A deployment of the policy model: places, services, and the requests of its callers.
"""

import dataclasses
import math

from oriolelock.model import configuration, endpoint, member, route, route_table, service

__all__ = ["Burst", "Place", "Scene", "Wave", "Work", "make_configuration"]


@dataclasses.dataclass(frozen=True)
class Place:
    """A failure domain. ``endpoints``: of a service of density 1; ``rate``: mean requests a second.

    ``phase``: where the region's wave of requests begins, as a part of its period.
    """

    name: str
    region: str
    entries: int
    endpoints: int
    rate: float
    phase: float = 0.0

    def rate_at(self, now: float, wave: "Wave") -> float:
        """Return the requests a second at ``now``."""
        angle = 2.0 * math.pi * (now / wave.period_s + self.phase)
        return self.rate * (1.0 + wave.swing * math.sin(angle))


@dataclasses.dataclass(frozen=True)
class Wave:
    """Rates swing around their mean by the part ``swing``."""

    swing: float = 0.0
    period_s: float = 36.0


@dataclasses.dataclass(frozen=True)
class Work:
    """One kind of request, with a service of its own.

    ``share``: of all requests; ``density``: endpoints as a part of the place's; times in
    seconds; ``saved``: the part of the work that an endpoint saves with the object at hand;
    ``objects``: over all regions; ``keeps``: how many an endpoint has at hand; ``worth`` and
    ``late``: of an answer within the objective, and after.
    """

    name: str
    share: float
    density: float
    priority: int
    mean_s: float
    objective_s: float
    timeout_s: float
    saved: float
    objects: int
    slots: int
    keeps: int
    worth: float
    late: float
    idempotent: bool = True


@dataclasses.dataclass(frozen=True)
class Burst:
    """Requests of kind ``work`` come ``factor`` times as often from ``start_s`` to ``end_s``."""

    work: str
    factor: float
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class Scene:
    """``trips_s``: one way within a failure domain, within a region, between regions."""

    places: tuple[Place, ...]
    works: tuple[Work, ...]
    trips_s: tuple[float, float, float] = (0.0001, 0.0005, 0.02)
    bursts: tuple[Burst, ...] = ()
    wave: Wave = Wave()
    duration_s: float = 26.0


def _route(work: Work) -> route.Route:
    return route.Route(
        name=work.name,
        host="model.example",
        prefix=f"/{work.name}/",
        idempotent=work.idempotent,
        timeout_ms=work.timeout_s * 1000.0,
        objective_ms=work.objective_s * 1000.0,
        priority=work.priority,
        parts=(route.Part(work.name, 1.0),),
        attempts=2,
        affinity=work.saved > 0.0,
    )


def make_configuration(scene: Scene) -> configuration.Configuration:
    """Return what the control replicas of the scene would publish."""
    endpoints, members = {}, {}
    for place in scene.places:
        for number in range(place.entries):
            name = f"entry-{place.name}-{number}"
            members[name] = member.Member(name, "entry", "", "", place.region, place.name)
        for work in scene.works:
            for number in range(max(1, round(place.endpoints * work.density))):
                name = f"{work.name}-{place.name}-{number}"
                endpoints[name] = endpoint.Endpoint(
                    name, work.name, "127.0.0.1:9", place.region, place.name, work.slots, 0
                )
    services = {w.name: service.Service(w.name, "/health", 100, 3000.0, 4.0) for w in scene.works}
    table = route_table.RouteTable(1, {w.name: _route(w) for w in scene.works}, services)
    return configuration.Configuration(endpoints=endpoints, members=members, table=table)
