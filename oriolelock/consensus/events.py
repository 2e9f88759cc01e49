"""
oriolelock.consensus.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The inputs of a node, passed to ``step(node, event, now)``.
"""

import dataclasses

from oriolelock.consensus import messages

__all__ = [
    "AddLearner",
    "Event",
    "Probe",
    "Promote",
    "Propose",
    "ReadRequest",
    "Received",
    "Remove",
    "Replace",
    "Restore",
    "Saved",
    "SnapshotTaken",
    "Tick",
    "Transfer",
]


@dataclasses.dataclass(frozen=True)
class Tick:
    """Checks the timers; due at least every 50 ms."""


@dataclasses.dataclass(frozen=True)
class Received:
    """A message from another replica was received."""

    sender: str
    incarnation: str
    msg: object


@dataclasses.dataclass(frozen=True)
class Propose:
    """Append a command; the ``Proposed`` or ``Rejected`` output has the same ``request_id``."""

    request_id: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class ReadRequest:
    """Confirm that this node is the leader; results in ``ReadReady`` or ``Rejected``."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class Saved:
    """The ``Save`` with this number and all earlier ones are durable."""

    number: int


@dataclasses.dataclass(frozen=True)
class SnapshotTaken:
    """A snapshot at ``index`` is durable, so the log before it may be compacted."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class AddLearner:
    """Add a non-voting replica, which replaces an older incarnation of the same name."""

    replica: messages.Replica


@dataclasses.dataclass(frozen=True)
class Probe:
    """Send a heartbeat to those of the replicas that are no members; follows each ``Tick``."""

    names: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Promote:
    """Make a learner a voter if it has caught up."""

    name: str


@dataclasses.dataclass(frozen=True)
class Remove:
    """Remove a replica from the group.

    With the outgoing voter of a joint membership this ends it with the new voters.
    """

    name: str


@dataclasses.dataclass(frozen=True)
class Replace:
    """Begin to give the vote of ``name`` to a learner, by a joint membership."""

    name: str
    successor: str


@dataclasses.dataclass(frozen=True)
class Restore:
    """End a joint membership with its old voters, which leaves the outgoing one its vote."""

    name: str


@dataclasses.dataclass(frozen=True)
class Transfer:
    """Transfer leadership to ``name``, or to the most up-to-date voter if it is empty."""

    name: str = ""


Event = (
    Tick
    | Received
    | Propose
    | ReadRequest
    | Saved
    | SnapshotTaken
    | AddLearner
    | Probe
    | Promote
    | Remove
    | Replace
    | Restore
    | Transfer
)
