"""
oriolelock.bench.preset_file
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Writes the presets that experiments need.
"""

import collections.abc
import pathlib

import yaml

__all__ = ["write"]

DEFAULTS = {
    "shift_cap": 0.1,
    "cold_shift_cap": 0.05,
    "shift_interval": "1 s",
    "link_mbits": 4000,
}


def write(
    path: pathlib.Path,
    services: collections.abc.Mapping[str, list[dict]],
    shares: dict[str, float] | None = None,
    queue_limit: int = 64,
    in_flight_limit: int = 24,
) -> pathlib.Path:
    """Write a preset named after the file; ``services``: operations by name of the service."""
    data = {"name": path.stem, **DEFAULTS, "services": []}
    for name, operations in services.items():
        limits = {"queue_limit": queue_limit, "in_flight_limit": in_flight_limit}
        data["services"].append({"name": name, **limits, "operations": operations})
    if shares:
        data["shares"] = shares
    path.write_text(yaml.safe_dump(data, sort_keys=False), encoding="utf-8")
    return path
