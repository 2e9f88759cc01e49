"""Sample presets for tests."""

from oriolelock.model import from_json, route

__all__ = ["make_preset", "make_route", "preset_json"]


def preset_json(name: str) -> dict:
    """Return a valid preset in the JSON form that operators send."""
    operation = {"name": "view", "priority": "normal", "idempotent": True, "timeout_ms": 500}
    service = {
        "name": "proof-rendering",
        "operations": [operation],
        "region_weights": {"perth": 1.0},
        "queue_limit": 100,
        "in_flight_limit": 20,
    }
    return {
        "name": name,
        "services": [service],
        "shares": {"urgent": 0.5, "normal": 0.35, "deferrable": 0.15},
        "shift_cap": 0.1,
        "shift_interval_ms": 1000,
        "cold_shift_cap": 0.05,
        "link_mbits": 4000,
        "link_share": 0.8,
    }


def make_preset(name: str):
    """Return a valid preset."""
    return from_json.preset_from(preset_json(name))


def make_route(name: str, service: str):
    """Return a route of a path of its own to one service."""
    parts = (route.Part(service, 1.0),)
    document = f'{{"host":"h.example","pathPrefix":"/{name}/","service":"{service}"}}'
    return route.Route(
        name, "h.example", f"/{name}/", True, 1000.0, 500.0, 1, parts, 2, False, (), document
    )
