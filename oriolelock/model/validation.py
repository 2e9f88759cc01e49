"""
oriolelock.model.validation
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The rules that presets and drains must keep; nothing that breaks them is stored.
"""

from oriolelock.model import drain, errors, preset, priority

__all__ = ["check_drain", "check_drain_capacity", "check_preset"]

MAX_NAME_LENGTH = 100
MAX_TIMEOUT_MS = 600_000.0


def _require(condition: bool, text: str) -> None:
    if not condition:
        raise errors.InvalidData(text)


def _check_name(name: str, what: str) -> None:
    _require(0 < len(name) <= MAX_NAME_LENGTH, f"{what}: 1 to {MAX_NAME_LENGTH} characters")


def check_preset(item: preset.Preset) -> None:
    """Raise InvalidData unless the preset can be put in force."""
    _check_name(item.name, "preset.name")
    _require(bool(item.services), "services: at least one")
    names = [policy.name for policy in item.services]
    _require(len(set(names)) == len(names), "services: names must differ")
    for policy in item.services:
        _check_service(policy)
    known = {p.name.lower() for p in priority.Priority}
    _require(set(item.shares) <= known, f"shares: keys from {sorted(known)}")
    _require(all(0 <= s <= 1 for s in item.shares.values()), "shares: 0 to 1 each")
    _require(sum(item.shares.values()) <= 1 + 1e-9, "shares: together at most 1")
    _require(0 < item.shift_cap <= 1, "shift_cap: above 0, at most 1")
    _require(
        0 < item.cold_shift_cap <= item.shift_cap, "cold_shift_cap: above 0, at most shift_cap"
    )
    _require(0 < item.shift_interval_ms <= MAX_TIMEOUT_MS, "shift_interval_ms: above 0")
    _require(item.link_mbits > 0, "link_mbits: above 0")
    _require(0 < item.link_share <= 1, "link_share: above 0, at most 1")


def _check_service(policy):
    where = f"services.{policy.name}"
    _check_name(policy.name, "services.name")
    _require(bool(policy.operations), f"{where}.operations: at least one")
    names = [op.name for op in policy.operations]
    _require(len(set(names)) == len(names), f"{where}.operations: names must differ")
    for op in policy.operations:
        _require(0 < op.timeout_ms <= MAX_TIMEOUT_MS, f"{where}.{op.name}.timeout_ms: above 0")
    _require(policy.queue_limit >= 1, f"{where}.queue_limit: at least 1")
    _require(policy.in_flight_limit >= 1, f"{where}.in_flight_limit: at least 1")
    weights = policy.region_weights.values()
    _require(all(0 <= weight <= 1 for weight in weights), f"{where}.region_weights: 0 to 1 each")
    _require(not weights or max(weights) > 0, f"{where}.region_weights: one must be above 0")


def check_drain(item: drain.Drain) -> None:
    """Raise InvalidData unless the drain is well formed."""
    _check_name(item.drain_id, "drain.id")
    _check_name(item.target, "drain.target")
    _require(item.scope in drain.SCOPES, f"drain.scope: one of {', '.join(drain.SCOPES)}")
    _require(item.deadline_s >= item.start_s, "drain.deadline: not before start")


def check_drain_capacity(cfg, item: drain.Drain) -> None:
    """Raise InvalidData when a service would keep fewer than half of its slots.

    Counts live endpoints outside this drain and every drain already planned.
    """
    planned = [*cfg.drains.values(), item]
    for service in sorted({e.service for e in cfg.endpoints.values()}):
        live = [e for e in cfg.endpoints.values() if e.service == service and e.state == "live"]
        total = sum(e.slots for e in live)
        left = sum(e.slots for e in live if not any(d.covers_endpoint(e) for d in planned))
        if any(item.covers_endpoint(e) for e in live) and left * 2 < total:
            raise errors.InvalidData(
                f"service {service} would keep {left} of {total} slots, at least half must remain"
            )
