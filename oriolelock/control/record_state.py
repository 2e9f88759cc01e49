"""
oriolelock.control.record_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    State machine of a record group, which holds one shard of the at-most-once record.
"""

import dataclasses

import xxhash

from oriolelock.control import commands
from oriolelock.model import results
from oriolelock.once import record
from oriolelock.wire import codec

__all__ = ["RecordGroupSnapshot", "RecordState", "group_of"]


@codec.register("record-group-snapshot")
@dataclasses.dataclass(frozen=True)
class RecordGroupSnapshot:
    """Snapshot of a record group.

    ``data`` is the encoded record. ``wall_s`` must be equal on all replicas.
    """

    wall_s: float
    data: bytes


def group_of(key: str, groups: int) -> str:
    """Return the name of the record group, out of ``groups``, that holds ``key``."""
    return f"record-{xxhash.xxh64_intdigest(key.encode()) % groups}"


class RecordState:
    """Not thread-safe; used only by the thread of its group."""

    def __init__(self) -> None:
        self._state = record.State()
        self.wall_s = 0.0

    def apply(self, index: int, command: commands.Command) -> object:
        """Apply a committed command and return its result, the same on every replica."""
        # A new leader's clock may be behind; if time went back, claims' leases would last longer.
        self.wall_s = max(self.wall_s, command.wall_s)
        try:
            self._state, result = record.apply(self._state, command.payload, self.wall_s)
        except TypeError as exc:
            return results.Refused(str(exc))
        return result

    def encode(self) -> bytes:
        """Return the whole state as a snapshot."""
        return codec.encode(RecordGroupSnapshot(self.wall_s, record.encode(self._state)))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot; raises ``DecodeError`` of ``wire.errors``."""
        snapshot = codec.decode(data)
        self._state = record.restore(snapshot.data)
        self.wall_s = snapshot.wall_s
