"""
oriolelock.consensus.outputs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The outputs of a node, returned by ``step`` and to be executed in order.
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
    """Store the state durably, then pass ``Saved(number)`` to ``step``. Until then the node
    delays the messages that depend on it.

    Stored entries from index ``truncate_from`` on are removed first; 0 removes none.
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
    """Apply these committed entries in order."""

    entries: tuple[messages.Entry, ...]


@dataclasses.dataclass(frozen=True)
class RestoreSnapshot:
    """Store the snapshot durably and restore the state machine from it."""

    index: int
    term: int
    membership: messages.Membership
    data: bytes


@dataclasses.dataclass(frozen=True)
class Proposed:
    """The proposal was appended at ``index``; it takes effect with the ``Commit`` of that entry."""

    request_id: str
    index: int
    term: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The request was rejected; ``leader`` is empty if unknown."""

    request_id: str
    leader: str
    reason: str


@dataclasses.dataclass(frozen=True)
class ReadReady:
    """This node was leader after the request arrived; a state at ``index`` or later is current."""

    request_id: str
    index: int


@dataclasses.dataclass(frozen=True)
class LeaderChanged:
    """``leader`` is empty if unknown; ``is_self`` is set if this node is the leader."""

    leader: str
    term: int
    is_self: bool


Output = Save | Send | Commit | RestoreSnapshot | Proposed | Rejected | ReadReady | LeaderChanged
