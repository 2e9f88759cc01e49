"""
oriolelock.consensus.outputs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a node asks for: the result of ``step``, to be carried out in order.
"""

import dataclasses

from oriolelock.consensus import messages

__all__ = [
    "Commit",
    "LeaderChanged",
    "Output",
    "Proposed",
    "ReadReady",
    "Rejected",
    "RestoreSnapshot",
    "Save",
    "Send",
]


@dataclasses.dataclass(frozen=True)
class Save:
    """Store durably, then feed ``Saved(number)``. Messages that depend on it are held back
    by the node until then.

    ``truncate_from``: remove stored entries from this index on first, 0 for none.
    """

    number: int
    term: int
    voted_for: str
    truncate_from: int
    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to another replica; it may be lost."""

    target: str
    msg: object


@dataclasses.dataclass(frozen=True)
class Commit:
    """These entries are committed; apply them in order."""

    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True)
class RestoreSnapshot:
    """Store the snapshot durably and replace the state machine's state with it."""

    index: int
    term: int
    membership: messages.Membership
    data: bytes


@dataclasses.dataclass(frozen=True)
class Proposed:
    """The proposal stands in the log at ``index``; its result follows from ``Commit``."""

    request_id: str
    index: int
    term: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request was not accepted; ``leader`` is empty when none is known."""

    request_id: str
    leader: str
    reason: str


@dataclasses.dataclass(frozen=True)
class ReadReady:
    """This node was leader after the request came; state at ``index`` or later is current."""

    request_id: str
    index: int


@dataclasses.dataclass(frozen=True)
class LeaderChanged:
    """``leader`` is empty when none is known; ``is_self`` when this node leads."""

    leader: str
    term: int
    is_self: bool


Output = Save | Send | Commit | RestoreSnapshot | Proposed | Rejected | ReadReady | LeaderChanged
