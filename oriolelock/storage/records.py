"""
oriolelock.storage.records
~~~~~~~~~~~~~~~~~~~~~~~~~~

    What the files of a store contain, as messages of the wire codec.
"""

import dataclasses

from oriolelock.consensus import messages
from oriolelock.wire import codec

__all__ = ["BaseRecord", "IdentityRecord", "SaveRecord", "SnapshotRecord"]


@codec.register("stored-identity")
@dataclasses.dataclass(frozen=True)
class IdentityRecord:
    """The random id of the folder and the group it belongs to."""

    group: str
    incarnation: str


@codec.register("stored-base")
@dataclasses.dataclass(frozen=True)
class BaseRecord:
    """The first record of a segment: entries follow ``index``, whose term is ``index_term``."""

    index: int
    index_term: int
    term: int
    voted_for: str


@codec.register("stored-save")
@dataclasses.dataclass(frozen=True)
class SaveRecord:
    """One save: term and vote, entries to remove from ``truncate_from`` on, entries to add."""

    term: int
    voted_for: str
    truncate_from: int
    entries: tuple[messages.Entry, ...]


@codec.register("stored-snapshot")
@dataclasses.dataclass(frozen=True)
class SnapshotRecord:
    """The state machine's state at ``index`` and the membership in force there."""

    index: int
    term: int
    membership: messages.Membership
    data: bytes
