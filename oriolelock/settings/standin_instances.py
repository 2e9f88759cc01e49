"""
oriolelock.settings.standin_instances
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of the stand-in for the platform's instance list.
"""

import dataclasses

from oriolelock.settings import common, fault, getters
from oriolelock.settings import node as nodes

__all__ = ["ROLES", "STATES", "Instance", "InstancesSettings", "parse", "parse_instance"]

ROLES = ("entry", "endpoint", "control")
STATES = ("live", "leaving")


@dataclasses.dataclass(frozen=True)
class Instance:
    """One line of the list. ``service``, ``slots`` and ``connections`` are for endpoints,
    ``link_address`` for instances that others connect to by websocket."""

    id: str
    role: str
    address: str
    region: str
    failure_domain: str
    state: str = "live"
    service: str = ""
    slots: int = 0
    connections: int = 0
    link_address: str = ""


@dataclasses.dataclass(frozen=True)
class InstancesSettings:
    """``lag_ms``: changes appear in the list this much later."""

    listen: tuple[str, int]
    lag_ms: float
    instances: tuple[Instance, ...]
    faults: tuple[fault.Fault, ...]
    log: common.LogSettings


def parse_instance(node: nodes.Node) -> Instance:
    """Return the instance that ``node`` describes; raises SettingsError."""
    address = getters.get_address(node, "address")
    return Instance(
        getters.get_str(node, "id"),
        getters.get_choice(node, "role", ROLES),
        f"{address[0]}:{address[1]}",
        getters.get_str(node, "region"),
        getters.get_str(node, "failure_domain"),
        getters.get_choice(node, "state", STATES, "live"),
        getters.get_str(node, "service", ""),
        getters.get_int(node, "slots", 0),
        getters.get_int(node, "connections", 0),
        getters.get_str(node, "link_address", ""),
    )


def parse(top: nodes.Node) -> InstancesSettings:
    """Return the settings of role ``instances``; raises SettingsError."""
    return InstancesSettings(
        getters.get_address(top, "listen"),
        getters.get_ms(top, "lag", 0.0),
        tuple(parse_instance(node) for node in getters.get_nodes(top, "instances", [])),
        tuple(fault.parse(node) for node in getters.get_nodes(top, "faults", [])),
        common.parse_log(top),
    )
