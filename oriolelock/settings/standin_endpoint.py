"""
oriolelock.settings.standin_endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of a stand-in process that hosts endpoints.
"""

import dataclasses

from oriolelock.settings import common, fault, getters
from oriolelock.settings import node as nodes

__all__ = ["DISTRIBUTIONS", "EndpointSettings", "EndpointsSettings", "parse"]

DISTRIBUTIONS = ("fixed", "exponential")


@dataclasses.dataclass(frozen=True)
class EndpointSettings:
    """One endpoint. ``slots`` requests run at once and ``queue`` more wait.

    ``service_ms`` is the mean; ``cold_factor`` multiplies it right after the start and fades
    to 1 over ``cold_ms``. ``answer_bytes`` is the size of an answer's body.
    """

    name: str
    listen: tuple[str, int]
    service: str
    slots: int
    queue: int
    connections: int
    service_ms: float
    distribution: str
    cold_ms: float
    cold_factor: float
    answer_bytes: int
    faults: tuple[fault.Fault, ...]


@dataclasses.dataclass(frozen=True)
class EndpointsSettings:
    """The endpoints of one process. ``runs_file``: where runs are appended, or None."""

    endpoints: tuple[EndpointSettings, ...]
    runs_file: str | None
    seed: int
    log: common.LogSettings


def _parse_endpoint(node: nodes.Node) -> EndpointSettings:
    return EndpointSettings(
        getters.get_str(node, "name"),
        getters.get_address(node, "listen"),
        getters.get_str(node, "service"),
        getters.get_int(node, "slots", low=1),
        getters.get_int(node, "queue", 4),
        getters.get_int(node, "connections", 350, low=1),
        getters.get_ms(node, "service_time"),
        getters.get_choice(node, "distribution", DISTRIBUTIONS, "fixed"),
        getters.get_ms(node, "cold_start", 0.0),
        getters.get_float(node, "cold_factor", 3.0, low=1.0),
        getters.get_bytes(node, "answer_size", 256),
        tuple(fault.parse(item) for item in getters.get_nodes(node, "faults", [])),
    )


def parse(top: nodes.Node) -> EndpointsSettings:
    """Return the settings of role ``endpoint``; raises SettingsError."""
    items = tuple(_parse_endpoint(node) for node in getters.get_nodes(top, "endpoints"))
    if not items:
        raise top.fail("endpoints", [], "at least one endpoint")
    names = [item.name for item in items]
    if len(set(names)) != len(names):
        raise top.fail("endpoints", names, "names that differ")
    return EndpointsSettings(
        items,
        getters.get_str(top, "runs_file", None),
        getters.get_int(top, "seed", 0),
        common.parse_log(top),
    )
