"""
oriolelock.model.configuration
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The configuration that every entry holds, and how a change is applied to it.
"""

import collections.abc
import dataclasses

from oriolelock.model import (
    changes,
    crash_record,
    drain,
    endpoint,
    errors,
    member,
    preset,
    route_table,
    validation,
)
from oriolelock.wire import codec

__all__ = ["EMPTY", "Configuration", "apply"]


@codec.register("configuration")
@dataclasses.dataclass(frozen=True)
class Configuration:
    """``index``: position in the log; ``version``: number of operator changes so far.

    ``block_sites`` is the packed table of client blocks (see ``lookup.blocks``).
    """

    index: int = 0
    version: int = 0
    in_force: str = ""
    presets: dict[str, preset.Preset] = dataclasses.field(default_factory=dict)
    drains: dict[str, drain.Drain] = dataclasses.field(default_factory=dict)
    members: dict[str, member.Member] = dataclasses.field(default_factory=dict)
    endpoints: dict[str, endpoint.Endpoint] = dataclasses.field(default_factory=dict)
    crashes: dict[str, crash_record.CrashRecord] = dataclasses.field(default_factory=dict)
    block_sites: bytes = b""
    table: route_table.RouteTable = route_table.RouteTable()

    def preset_in_force(self) -> preset.Preset | None:
        """Return the preset in force, or None before the first one."""
        return self.presets.get(self.in_force)


EMPTY = Configuration()
OPERATOR_CHANGES = (
    changes.PutPreset,
    changes.UsePreset,
    changes.AddDrain,
    changes.CancelDrain,
    changes.PutBlocks,
    changes.PutRoutes,
    changes.PatchRoutes,
)


def apply(cfg: Configuration, change: changes.Change, index: int, wall_s: float) -> Configuration:
    """Return the configuration after ``change``, committed at ``index`` and ``wall_s``.

    The result depends on the arguments alone, so that replicas and entries agree. Raises
    InvalidData when the change is not allowed.
    """
    handler = _HANDLERS[type(change)]
    version = cfg.version + (1 if isinstance(change, OPERATOR_CHANGES) else 0)
    fields = handler(cfg, change, wall_s)
    return dataclasses.replace(cfg, index=index, version=version, **fields)


def _put_preset(cfg, change, wall_s):
    validation.check_preset(change.preset)
    presets = {**cfg.presets, change.preset.name: change.preset}
    return {"presets": presets}


def _use_preset(cfg, change, wall_s):
    if change.name not in cfg.presets:
        known = ", ".join(sorted(cfg.presets)) or "none"
        raise errors.InvalidData(f"preset {change.name!r} is not stored; stored: {known}")
    return {"in_force": change.name}


def _add_drain(cfg, change, wall_s):
    validation.check_drain(change.drain)
    if not change.drain.forced:
        validation.check_drain_capacity(cfg, change.drain)
    return {"drains": {**cfg.drains, change.drain.drain_id: change.drain}}


def _without(mapping: collections.abc.Mapping, key: str, what: str) -> dict:
    if key not in mapping:
        raise errors.InvalidData(f"{what} {key!r} does not exist")
    return {name: value for name, value in mapping.items() if name != key}


def _cancel_drain(cfg, change, wall_s):
    return {"drains": _without(cfg.drains, change.drain_id, "drain")}


def _set_member(cfg, change, wall_s):
    return {"members": {**cfg.members, change.member.name: change.member}}


def _remove_member(cfg, change, wall_s):
    return {"members": _without(cfg.members, change.name, "member")}


def _set_endpoint(cfg, change, wall_s):
    return {"endpoints": {**cfg.endpoints, change.endpoint.name: change.endpoint}}


def _remove_endpoint(cfg, change, wall_s):
    return {"endpoints": _without(cfg.endpoints, change.name, "endpoint")}


def _report_crash(cfg, change, wall_s):
    old = cfg.crashes.get(change.fingerprint)
    earlier = old.deaths if old else ()
    recent = [d for d in earlier if wall_s - d[1] < crash_record.WINDOW_S]
    if any(
        name == change.endpoint and wall_s - at_s < crash_record.SAME_DEATH_S
        for name, at_s in recent
    ):
        return {}
    deaths = (*recent, (change.endpoint, wall_s))[-crash_record.QUARANTINE_DEATHS :]
    until_s = old.until_s if old else 0.0
    if len(deaths) >= crash_record.QUARANTINE_DEATHS:
        until_s = wall_s + crash_record.QUARANTINE_S
    record = crash_record.CrashRecord(change.fingerprint, deaths, until_s)
    kept = {
        key: value
        for key, value in cfg.crashes.items()
        if max(value.until_s, value.deaths[-1][1] + crash_record.WINDOW_S) > wall_s
    }
    kept.pop(change.fingerprint, None)
    while len(kept) >= crash_record.MAX_CRASH_RECORDS:
        kept.pop(next(iter(kept)))
    return {"crashes": {**kept, change.fingerprint: record}}


def _put_blocks(cfg, change, wall_s):
    from oriolelock.lookup import packing

    return {"block_sites": packing.update(cfg.block_sites, change.blocks, change.site_regions)}


def _put_routes(cfg, change, wall_s):
    route_table.check(change.table, cfg.table.revision)
    return {"table": change.table}


def _patch_routes(cfg, change, wall_s):
    table = route_table.patched(cfg.table, change.patch)
    route_table.check(table, cfg.table.revision)
    return {"table": table}


_HANDLERS = {
    changes.PutPreset: _put_preset,
    changes.UsePreset: _use_preset,
    changes.AddDrain: _add_drain,
    changes.CancelDrain: _cancel_drain,
    changes.SetMember: _set_member,
    changes.RemoveMember: _remove_member,
    changes.SetEndpoint: _set_endpoint,
    changes.RemoveEndpoint: _remove_endpoint,
    changes.ReportCrash: _report_crash,
    changes.PutBlocks: _put_blocks,
    changes.PutRoutes: _put_routes,
    changes.PatchRoutes: _patch_routes,
}
