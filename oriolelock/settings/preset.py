"""
oriolelock.settings.preset
~~~~~~~~~~~~~~~~~~~~~~~~~~

    A preset from a YAML file, in which durations carry their unit.
"""

from oriolelock.model import errors, operation, preset, priority, service_policy, validation
from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["parse"]

DEFAULT_SHARES = {"urgent": 0.5, "normal": 0.35, "deferrable": 0.15}


def parse(top: nodes.Node) -> preset.Preset:
    """Return the preset in ``top``; raises SettingsError also for rules of the model."""
    found = preset.Preset(
        name=getters.get_str(top, "name"),
        services=tuple(_parse_service(node) for node in getters.get_nodes(top, "services")),
        shares=_parse_numbers(top, "shares", DEFAULT_SHARES),
        shift_cap=getters.get_float(top, "shift_cap", high=1.0),
        shift_interval_ms=getters.get_ms(top, "shift_interval"),
        cold_shift_cap=getters.get_float(top, "cold_shift_cap", high=1.0),
        link_mbits=getters.get_float(top, "link_mbits"),
        link_share=getters.get_float(top, "link_share", 0.8, high=1.0),
    )
    try:
        validation.check_preset(found)
    except errors.InvalidData as exc:
        raise top.fail("(preset)", found.name, str(exc)) from exc
    return found


def _parse_numbers(top, key, default=nodes.MISSING):
    node = getters.get_node(top, key, default)
    names = node.keys()
    return {name: getters.get_float(node, name) for name in names}


def _parse_service(node):
    return service_policy.ServicePolicy(
        name=getters.get_str(node, "name"),
        operations=tuple(_parse_operation(item) for item in getters.get_nodes(node, "operations")),
        region_weights=_parse_numbers(node, "region_weights", {}),
        queue_limit=getters.get_int(node, "queue_limit", low=1),
        in_flight_limit=getters.get_int(node, "in_flight_limit", low=1),
    )


def _parse_operation(node):
    names = tuple(item.name.lower() for item in priority.Priority)
    chosen = getters.get_choice(node, "priority", names)
    return operation.Operation(
        name=getters.get_str(node, "name"),
        priority=priority.Priority[chosen.upper()],
        idempotent=getters.get_bool(node, "idempotent"),
        timeout_ms=getters.get_ms(node, "timeout"),
    )
