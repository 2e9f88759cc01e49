"""
oriolelock.storage.records
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The records in the files of a store, serialized with the wire codec.
"""

import dataclasses

from oriolelock.consensus import messages
from oriolelock.wire import codec

__all__ = ["BaseRecord", "IdentityRecord", "SaveRecord", "SnapshotRecord"]


@codec.register("stored-identity")
@dataclasses.dataclass(frozen=True)
class IdentityRecord:
    """The group that a store belongs to and the random id of its folder."""

    group: str
    incarnation: str


@codec.register("stored-base")
@dataclasses.dataclass(frozen=True)
class BaseRecord:
    """The first record of a segment, whose entries follow ``index`` of term ``index_term``."""

    index: int
    index_term: int
    term: int
    voted_for: str


@codec.register("stored-save")
@dataclasses.dataclass(frozen=True)
class SaveRecord:
    """Sets term and vote, removes the entries from ``truncate_from`` on, then adds ``entries``."""

    term: int
    voted_for: str
    truncate_from: int
    entries: tuple[messages.Entry, ...]


@codec.register("stored-snapshot")
@dataclasses.dataclass(frozen=True)
class SnapshotRecord:
    """The state of the state machine and the membership in effect at ``index``."""

    index: int
    term: int
    membership: messages.Membership
    data: bytes
