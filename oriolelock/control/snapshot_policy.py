"""
oriolelock.control.snapshot_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    When a group takes a snapshot, and when its leader hands over before.
"""

__all__ = ["SnapshotPolicy"]

# With a snapshot of n bytes the next one waits for n / 1024 entries, so that writing
# snapshots costs about as much as writing the log.
BYTES_PER_ENTRY = 1024
# A leader that is busy for an election timeout (1.5 s at least) loses leadership with all
# proposals under way; above a third of it, it hands over first.
MAX_LEADER_PAUSE_S = 0.5
# Encoding and storing 100,000 keys (31 MB) takes somewhat more than 0.5 s.
BYTES_PER_S = 50e6
# Longer than a transfer may take (1.5 s). A leader without a successor then takes the snapshot
# itself; asking for ever would refuse all proposals.
HAND_OVER_TIMEOUT_S = 3.0


class SnapshotPolicy:
    """Owned by the thread of its group. ``size``: bytes of the last snapshot."""

    def __init__(self, every: int, index: int, size: int):
        self._every = every
        self.taken(index, size, 0.0)

    def taken(self, index: int, size: int, pause_s: float) -> None:
        """Note a snapshot at ``index`` that held the thread up for ``pause_s``."""
        self._index = index
        self._entries = max(self._every, size // BYTES_PER_ENTRY)
        self._waits_since_s: float | None = None
        self._pause_s = max(pause_s, size / BYTES_PER_S)

    def postpone(self, index: int) -> None:
        """Wait for as many entries once more, after a try that failed."""
        self._index = index

    def is_due(self, applied: int) -> bool:
        """Return whether it is time for a snapshot."""
        return applied - self._index >= self._entries

    def leader_waits(self, now: float) -> bool:
        """Return whether a leader hands over instead of taking the snapshot that is due."""
        if self._pause_s <= MAX_LEADER_PAUSE_S:
            return False
        if self._waits_since_s is None:
            self._waits_since_s = now
        return now - self._waits_since_s < HAND_OVER_TIMEOUT_S
