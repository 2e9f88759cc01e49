"""
oriolelock.distribution.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Messages between a subscriber and its parent.
"""

import dataclasses

from oriolelock.model import configuration, delta
from oriolelock.wire import codec

__all__ = [
    "AgedDelta",
    "ConfirmIndex",
    "ConfirmedIndex",
    "Delta",
    "Ping",
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
    """Asks for the changes after ``index``, or for the whole configuration if it is 0."""

    name: str
    index: int


@codec.register("ping")
@dataclasses.dataclass(frozen=True)
class Ping:
    """Asks the parent to return ``sent_s``, a time by the subscriber's own clock, in aged deltas.

    It shows how long a delta may have been on its way, without clocks that agree.
    """

    sent_s: float


@codec.register("snapshot")
@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The whole configuration. ``confirmed``: the leader has confirmed that it is current."""

    configuration: configuration.Configuration
    confirmed: bool


@codec.register("delta")
@dataclasses.dataclass(frozen=True)
class Delta:
    """The changes after ``from_index`` up to ``to_index``. An empty one only confirms."""

    from_index: int
    to_index: int
    changes: tuple[delta.CommittedChange, ...]
    confirmed: bool


@codec.register("aged-delta")
@dataclasses.dataclass(frozen=True)
class AgedDelta:
    """A delta for one subscriber, which tells how old its confirmation is.

    ``control_age_s``: seconds since the read of the leader's state began that confirms it, over
    all hops. ``echo_s``: ``sent_s`` of the subscriber's latest ping, ``held_s`` seconds after its
    arrival.
    """

    content: Delta
    control_age_s: float
    echo_s: float
    held_s: float


@codec.register("status")
@dataclasses.dataclass(frozen=True)
class StatusReport:
    """The status of one entry.

    ``since_s``: Unix time since which it has this version and state; ``age_s``: seconds since
    the report was made, increased by each hop.
    """

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
    """Reports of several entries."""

    reports: tuple[StatusReport, ...]


@codec.register("confirm-index")
@dataclasses.dataclass(frozen=True)
class ConfirmIndex:
    """A call that asks the leader for the index of the current configuration."""


@codec.register("confirmed-index")
@dataclasses.dataclass(frozen=True)
class ConfirmedIndex:
    """The reply: a configuration at ``index`` or later was current after the call arrived."""

    index: int


@codec.register("call")
@dataclasses.dataclass(frozen=True)
class UplinkCall:
    """A call to control, forwarded by each parent. ``payload`` is a registered message."""

    call_id: str
    payload: object


@codec.register("call-reply")
@dataclasses.dataclass(frozen=True)
class UplinkReply:
    """The reply to the call with the same id. ``error`` is not empty if the call failed."""

    call_id: str
    payload: object
    error: str = ""
