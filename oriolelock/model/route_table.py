"""
oriolelock.model.route_table
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    All routes and services in force, under one revision; how operators replace or patch them.
"""

import dataclasses

from oriolelock.model import errors, request_limits, route, service
from oriolelock.wire import codec

__all__ = ["RoutePatch", "RouteTable", "check", "difference", "patched"]


@codec.register("route-table")
@dataclasses.dataclass(frozen=True)
class RouteTable:
    """``revision`` is the operators' own number; it only grows."""

    revision: int = 0
    routes: dict[str, route.Route] = dataclasses.field(default_factory=dict)
    services: dict[str, service.Service] = dataclasses.field(default_factory=dict)
    limits: request_limits.RequestLimits = request_limits.RequestLimits()


@codec.register("route-patch")
@dataclasses.dataclass(frozen=True)
class RoutePatch:
    """Named items to put or to drop; ``limits`` None leaves them as they are."""

    revision: int
    routes: dict[str, route.Route] = dataclasses.field(default_factory=dict)
    services: dict[str, service.Service] = dataclasses.field(default_factory=dict)
    dropped_routes: tuple[str, ...] = ()
    dropped_services: tuple[str, ...] = ()
    limits: request_limits.RequestLimits | None = None


def patched(table: RouteTable, patch: RoutePatch) -> RouteTable:
    """Return the table after a patch; dropping what is not there changes nothing."""
    routes = {k: v for k, v in table.routes.items() if k not in patch.dropped_routes}
    services = {k: v for k, v in table.services.items() if k not in patch.dropped_services}
    return RouteTable(
        patch.revision,
        {**routes, **patch.routes},
        {**services, **patch.services},
        patch.limits or table.limits,
    )


def difference(before: RouteTable, after: RouteTable) -> RoutePatch:
    """Return the patch that leads from one table to the other."""
    return RoutePatch(
        after.revision,
        _changed(before.routes, after.routes),
        _changed(before.services, after.services),
        tuple(name for name in before.routes if name not in after.routes),
        tuple(name for name in before.services if name not in after.services),
        after.limits if after.limits != before.limits else None,
    )


def _changed(before, after):
    return {name: item for name, item in after.items() if before.get(name) != item}


def _require(condition, text):
    if not condition:
        raise errors.InvalidData(text)


def check(table: RouteTable, after: int) -> None:
    """Raise InvalidData unless the table can follow revision ``after``."""
    _require(table.revision > after, f"revision {table.revision} is not above {after}")
    places = set()
    for name, item in table.routes.items():
        where = f"routes.{name}"
        _require(item.host, f"{where}.host: empty")
        _require(item.prefix.startswith("/"), f"{where}.prefix: must begin with a slash")
        _require(item.timeout_ms > 0, f"{where}.timeout_ms: above 0")
        _require(item.attempts >= 1, f"{where}.attempts: at least 1")
        _require(item.parts, f"{where}.parts: at least one")
        _require(all(p.weight >= 0 for p in item.parts), f"{where}.parts: weight below 0")
        _require(sum(p.weight for p in item.parts) > 0, f"{where}.parts: weights add up to 0")
        for part in item.parts:
            _require(part.service in table.services, f"{where}: no service {part.service!r}")
        place = (item.host.lower(), item.prefix)
        _require(place not in places, f"{where}: another route has the same host and prefix")
        places.add(place)
