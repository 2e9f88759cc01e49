"""
oriolelock.consensus.events
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a node is told: ``step(node, event, now)``.
"""

import dataclasses

from oriolelock.consensus import messages

__all__ = [
    "AddLearner",
    "Event",
    "Propose",
    "Promote",
    "ReadRequest",
    "Received",
    "Remove",
    "Saved",
    "SnapshotTaken",
    "Tick",
    "Transfer",
]


@dataclasses.dataclass(frozen=True)
class Tick:
    """Time has passed; sent at least each 50 ms."""


@dataclasses.dataclass(frozen=True)
class Received:
    """A message of another replica arrived."""

    sender: str
    incarnation: str
    msg: object


@dataclasses.dataclass(frozen=True)
class Propose:
    """Append a command. ``request_id`` comes back in the ``Proposed`` or ``Rejected`` output."""

    request_id: str
    data: bytes


@dataclasses.dataclass(frozen=True)
class ReadRequest:
    """Confirm that this node is the leader; answered by ``ReadReady`` or ``Rejected``."""

    request_id: str


@dataclasses.dataclass(frozen=True)
class Saved:
    """Everything of the last ``Save`` with this number is on the synced disk."""

    number: int


@dataclasses.dataclass(frozen=True)
class SnapshotTaken:
    """The state machine's state at ``index`` is stored durably; the log may be cut."""

    index: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class AddLearner:
    """Admit a replica without a vote (replaces an older incarnation of the same name)."""

    replica: messages.Replica


@dataclasses.dataclass(frozen=True)
class Promote:
    """Give a learner that has caught up its vote."""

    name: str


@dataclasses.dataclass(frozen=True)
class Remove:
    """Remove a replica from the group."""

    name: str


@dataclasses.dataclass(frozen=True)
class Transfer:
    """Hand leadership to the most up-to-date voter (or to ``name``)."""

    name: str = ""


Event = (
    Tick
    | Received
    | Propose
    | ReadRequest
    | Saved
    | SnapshotTaken
    | AddLearner
    | Promote
    | Remove
    | Transfer
)
