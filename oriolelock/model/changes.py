"""
oriolelock.model.changes
~~~~~~~~~~~~~~~~~~~~~~~~

    Changes of the configuration, as they stand in the replicated log and in deltas.
"""

import dataclasses

from oriolelock.model import drain, endpoint, member, preset, route_table
from oriolelock.wire import codec

__all__ = [
    "AddDrain",
    "CancelDrain",
    "Change",
    "PatchRoutes",
    "PutBlocks",
    "PutPreset",
    "PutRoutes",
    "RemoveEndpoint",
    "RemoveMember",
    "ReportCrash",
    "RouteChange",
    "SetEndpoint",
    "SetMember",
    "UsePreset",
]


@codec.register("put-preset")
@dataclasses.dataclass(frozen=True)
class PutPreset:
    """Stores a preset; the one in force may be replaced and then changes at once."""

    preset: preset.Preset


@codec.register("use-preset")
@dataclasses.dataclass(frozen=True)
class UsePreset:
    """Puts a stored preset in force."""

    name: str


@codec.register("add-drain")
@dataclasses.dataclass(frozen=True)
class AddDrain:
    """Plans a drain."""

    drain: drain.Drain


@codec.register("cancel-drain")
@dataclasses.dataclass(frozen=True)
class CancelDrain:
    """Removes a drain."""

    drain_id: str


@codec.register("set-member")
@dataclasses.dataclass(frozen=True)
class SetMember:
    """Adds or updates an instance of the system."""

    member: member.Member


@codec.register("remove-member")
@dataclasses.dataclass(frozen=True)
class RemoveMember:
    """Removes an instance of the system that has left for good."""

    name: str


@codec.register("set-endpoint")
@dataclasses.dataclass(frozen=True)
class SetEndpoint:
    """Adds or updates an endpoint."""

    endpoint: endpoint.Endpoint


@codec.register("remove-endpoint")
@dataclasses.dataclass(frozen=True)
class RemoveEndpoint:
    """Removes an endpoint that is gone from the instance list."""

    name: str


@codec.register("report-crash")
@dataclasses.dataclass(frozen=True)
class ReportCrash:
    """An endpoint died while it ran a request with this fingerprint."""

    fingerprint: str
    endpoint: str


@codec.register("put-blocks")
@dataclasses.dataclass(frozen=True)
class PutBlocks:
    """Assigns client blocks (``a.b.c.d/n``) to sites; an empty site removes the block."""

    blocks: tuple[tuple[str, str], ...]
    site_regions: dict[str, str]


@codec.register("put-routes")
@dataclasses.dataclass(frozen=True)
class PutRoutes:
    """Replaces all routes, services and limits, if the revision in force is ``base``."""

    base: int
    table: route_table.RouteTable


@codec.register("patch-routes")
@dataclasses.dataclass(frozen=True)
class PatchRoutes:
    """Changes named routes and services, if the revision in force is ``base``."""

    base: int
    patch: route_table.RoutePatch


RouteChange = PutRoutes | PatchRoutes
Change = (
    PutPreset
    | UsePreset
    | AddDrain
    | CancelDrain
    | SetMember
    | RemoveMember
    | SetEndpoint
    | RemoveEndpoint
    | ReportCrash
    | PutBlocks
    | PutRoutes
    | PatchRoutes
)
