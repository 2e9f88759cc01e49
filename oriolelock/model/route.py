"""
oriolelock.model.route
~~~~~~~~~~~~~~~~~~~~~~

    Which requests go to which services, and how they may be treated.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Part", "Route"]


@codec.register("part")
@dataclasses.dataclass(frozen=True)
class Part:
    """A service and the weight of its share of a route's requests."""

    service: str
    weight: float


@codec.register("route")
@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of ``host`` whose path starts with ``prefix``.

    ``timeout_ms``: after this time a request is ended; ``objective_ms``: the latency objective.
    ``priority``: 0 is the most urgent. ``attempts``: the most endpoints that one request may be
    sent to. ``affinity``: endpoints serve objects faster that they have handled lately.
    ``regions``: the only regions where it may run, any when empty. ``document``: the operator's
    own form of the route, to read it back unchanged; so in services and limits.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    priority: int
    parts: tuple[Part, ...]
    attempts: int
    affinity: bool
    regions: tuple[str, ...] = ()
    document: str = ""
