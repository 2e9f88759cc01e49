"""
oriolelock.distribution.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Messages between a subscriber and its parent.
"""

import dataclasses

from oriolelock.model import configuration, delta
from oriolelock.wire import codec

__all__ = [
    "ConfirmIndex",
    "ConfirmedIndex",
    "Delta",
    "Snapshot",
    "StatusBatch",
    "StatusReport",
    "Subscribe",
    "UplinkCall",
    "UplinkReply",
]


@codec.register("subscribe")
@dataclasses.dataclass(frozen=True)
class Subscribe:
    """Asks for the configuration after ``index``; 0 for all of it."""

    name: str
    index: int


@codec.register("snapshot")
@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The whole configuration. ``confirmed``: the leader vouched that it is current."""

    configuration: configuration.Configuration
    confirmed: bool


@codec.register("delta")
@dataclasses.dataclass(frozen=True)
class Delta:
    """Changes after ``from_index`` up to ``to_index``; also sent empty to confirm."""

    from_index: int
    to_index: int
    changes: tuple[delta.CommittedChange, ...]
    confirmed: bool


@codec.register("status")
@dataclasses.dataclass(frozen=True)
class StatusReport:
    """What one entry has. ``age_s``: seconds since it was measured, added to by each hop."""

    name: str
    version: int
    index: int
    state: str
    since_s: float
    in_flight: int
    age_s: float = 0.0


@codec.register("status-batch")
@dataclasses.dataclass(frozen=True)
class StatusBatch:
    """Reports of a parent and of all entries below it."""

    reports: tuple[StatusReport, ...]


@codec.register("confirm-index")
@dataclasses.dataclass(frozen=True)
class ConfirmIndex:
    """A call: at which index is a configuration current now, by the leader's word?"""


@codec.register("confirmed-index")
@dataclasses.dataclass(frozen=True)
class ConfirmedIndex:
    """The reply: a configuration at ``index`` or later was current after the call came."""

    index: int


@codec.register("call")
@dataclasses.dataclass(frozen=True)
class UplinkCall:
    """A question to control; parents pass it on. ``payload`` is a registered message."""

    call_id: str
    payload: object


@codec.register("call-reply")
@dataclasses.dataclass(frozen=True)
class UplinkReply:
    """The answer to the call with the same id; ``error`` is not empty when there is none."""

    call_id: str
    payload: object
    error: str = ""
