"""
oriolelock.platform.routes
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The operator's documents of routes and services, and back.
"""

import json

from oriolelock.model import changes, errors, request_limits, route, route_table, service
from oriolelock.platform import quantities
from oriolelock.wire import strict_json

__all__ = ["patch_from", "put_from", "write"]

IDEMPOTENT_KIND = "safe"
DEFAULT_TIMEOUT_MS = 30_000.0
# Attempts of a route that does not say: one retry.
DEFAULT_ATTEMPTS = 2
# Larger numbers are mistakes, and could overflow where they are used.
MAX_NUMBER = 1e15


def _invalid(where, found, allowed):
    # The text of a deeply nested value can't be made.
    shown = type(found).__name__ if isinstance(found, (dict, list)) else repr(str(found)[:60])
    return errors.InvalidData(f"{where}: found {shown}, allowed: {allowed}")


def _load(body):
    try:
        data = strict_json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise errors.InvalidData(f"not JSON: {exc}") from exc
    return _table(data, "body")


def _table(value, where):
    if not isinstance(value, dict):
        raise _invalid(where, value, "a table")
    return value


def _text(value, where):
    if not isinstance(value, str):
        raise _invalid(where, value, "a string")
    return value


def _number(value, where):
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
        raise _invalid(where, value, "a number")
    if abs(value) > MAX_NUMBER:
        # Python does not convert integers of any length to text.
        raise _invalid(where, "a larger one", f"a number up to {MAX_NUMBER:.0f}")
    return value


def _document(item, where):
    try:
        return json.dumps(item, separators=(",", ":"))
    except (RecursionError, ValueError) as exc:
        raise errors.InvalidData(f"{where}: {exc}") from exc


def _part(item, where):
    item = _table(item, where)
    weight = _number(item.get("weight"), f"{where}.weight")
    return route.Part(_text(item.get("service"), f"{where}.service"), float(weight))


def _parts(item, where):
    split = item.get("weightedServices")
    if split:
        if not isinstance(split, list):
            raise _invalid(f"{where}.weightedServices", split, "a list")
        return tuple(_part(part, f"{where}.weightedServices") for part in split)
    return (route.Part(_text(item.get("service"), f"{where}.service"), 1.0),)


def _route(name, item):
    where = f"routes.{name}"
    item = _table(item, where)
    timeout_ms = DEFAULT_TIMEOUT_MS
    if item.get("timeout") is not None:
        timeout_ms = quantities.read_ms(item["timeout"], f"{where}.timeout")
    objective = item.get("targetLatency")
    regions = item.get("allowedRegions") or ()
    if not isinstance(regions, (list, tuple)):
        raise _invalid(f"{where}.allowedRegions", regions, "a list")
    return route.Route(
        name=name,
        host=_text(item.get("host"), f"{where}.host"),
        prefix=_text(item.get("pathPrefix"), f"{where}.pathPrefix"),
        idempotent=_text(item.get("kind"), f"{where}.kind") == IDEMPOTENT_KIND,
        timeout_ms=timeout_ms,
        objective_ms=(
            quantities.read_ms(objective, f"{where}.targetLatency") if objective else timeout_ms
        ),
        priority=int(_number(item.get("priority", 1), f"{where}.priority")),
        parts=_parts(item, where),
        attempts=int(_number(item.get("maxAttempts", DEFAULT_ATTEMPTS), f"{where}.maxAttempts")),
        affinity=item.get("stickySessions") is True,
        regions=tuple(_text(name, f"{where}.allowedRegions") for name in regions),
        document=_document(item, where),
    )


def _service(name, item):
    where = f"services.{name}"
    item = _table(item, where)
    return service.Service(
        name=name,
        health_path=_text(item.get("healthPath", "/"), f"{where}.healthPath"),
        connections=int(_number(item.get("maxConnections", 0), f"{where}.maxConnections")),
        cold_ms=quantities.read_ms(item.get("coldStart", "0ms"), f"{where}.coldStart"),
        cold_rate=float(_number(item.get("coldPerS", 0.0), f"{where}.coldPerS")),
        document=_document(item, where),
    )


def _limits(item):
    item = _table(item, "limits")
    usual = request_limits.RequestLimits()

    def size(name, otherwise):
        return int(_number(item.get(name, otherwise), f"limits.{name}"))

    def time_ms(name, otherwise):
        value = item.get(name)
        return otherwise if value is None else quantities.read_ms(value, f"limits.{name}")

    return request_limits.RequestLimits(
        head_bytes=size("maxHeaderBytes", usual.head_bytes),
        body_bytes=size("maxBodyBytes", usual.body_bytes),
        head_ms=time_ms("headerTimeout", usual.head_ms),
        idle_ms=time_ms("idleTimeout", usual.idle_ms),
        document=_document(item, "limits"),
    )


def _named(data, key, read):
    items = data.get(key)
    named = {} if items is None else _table(items, key)
    return {name: read(name, item) for name, item in named.items()}


def _names(data, key):
    names = data.get(key) or []
    if not isinstance(names, list):
        raise _invalid(f"remove.{key}", names, "a list of names")
    return tuple(_text(name, f"remove.{key}") for name in names)


def put_from(base: str, body: bytes) -> changes.PutRoutes:
    """Return the change in a whole config; raises InvalidData."""
    data = _load(body)
    for key in ("routes", "services"):
        if key not in data:
            raise _invalid(key, None, "a table")
    table = route_table.RouteTable(
        quantities.read_revision(data.get("version"), "version"),
        _named(data, "routes", _route),
        _named(data, "services", _service),
        _limits(data.get("limits") or {}),
    )
    return changes.PutRoutes(quantities.read_revision(base, "base version"), table)


def patch_from(base: str, body: bytes) -> changes.PatchRoutes:
    """Return the change in a patch; raises InvalidData."""
    data = _load(body)
    added = _table(data.get("upsert") or {}, "upsert")
    removed = _table(data.get("remove") or {}, "remove")
    limits = added.get("limits", data.get("limits"))
    patch = route_table.RoutePatch(
        quantities.read_revision(data.get("version"), "version"),
        _named(added, "routes", _route),
        _named(added, "services", _service),
        _names(removed, "routes"),
        _names(removed, "services"),
        _limits(limits) if limits else None,
    )
    return changes.PatchRoutes(quantities.read_revision(base, "base version"), patch)


def write(table: route_table.RouteTable) -> bytes:
    """Return a table laid out as it is put."""

    def items(named):
        return ",".join(f"{json.dumps(name)}:{item.document}" for name, item in named.items())

    text = (
        f'{{"version":"{quantities.write_revision(table.revision)}",'
        f'"routes":{{{items(table.routes)}}},"services":{{{items(table.services)}}}'
    )
    if table.limits.document:
        text += f',"limits":{table.limits.document}'
    return (text + "}").encode()
