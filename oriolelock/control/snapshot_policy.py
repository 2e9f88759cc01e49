"""
oriolelock.control.snapshot_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Decides when a group takes a snapshot, and when its leader transfers leadership first.
"""

__all__ = ["SnapshotPolicy"]

# After a snapshot of n bytes, the next one is due after n / 1024 log entries. Writing snapshots
# then costs about as much as writing the log.
SNAPSHOT_BYTES_PER_ENTRY = 1024
# Bounds of what a replica that starts again has to apply since the last snapshot: the time that it
# took, and its size, which is also kept in memory.
MAX_REPLAY_S = 0.5
MAX_LOG_BYTES = 4 * 1024 * 1024
# A leader that is blocked for an election timeout (at least 1.5 s) loses leadership and all pending
# proposals. If a snapshot takes more than a third of that, it transfers leadership first.
MAX_LEADER_PAUSE_S = 0.5
# Throughput of encoding and storing: 100,000 keys (31 MB) take slightly more than 0.5 s.
SNAPSHOT_BYTES_PER_S = 50e6
# Longer than a leadership transfer may take (1.5 s). A leader that still leads by then takes the
# snapshot itself: repeating the transfer forever would reject all proposals.
TRANSFER_TIMEOUT_S = 3.0


class SnapshotPolicy:
    """Used only by the thread of its group.

    A snapshot is due after a number of entries, of bytes, or of seconds that applying them took,
    whichever comes first, and less often while snapshots are large or slow to take.

    ``every``: least number of entries between snapshots. ``index`` and ``size`` in bytes are those
    of the last snapshot.
    """

    def __init__(self, every: int, index: int, size: int):
        self._min_interval_entries = every
        self.record_snapshot(index, size, 0.0)

    def record_snapshot(self, index: int, size: int, pause_s: float) -> None:
        """Record a snapshot at ``index`` that blocked the thread for ``pause_s``."""
        self._index = index
        self._interval_entries = max(self._min_interval_entries, size // SNAPSHOT_BYTES_PER_ENTRY)
        self._transferring_since_s: float | None = None
        self._pause_s = max(pause_s, size / SNAPSHOT_BYTES_PER_S)
        self._max_bytes = max(MAX_LOG_BYTES, size)
        self._max_replay_s = max(MAX_REPLAY_S, self._pause_s)
        self._applied_bytes, self._apply_time_s = 0, 0.0

    def record_applied(self, size: int, duration_s: float) -> None:
        """Record that an entry of ``size`` bytes was applied in ``duration_s``."""
        self._applied_bytes += size
        self._apply_time_s += duration_s

    def postpone(self, index: int) -> None:
        """Wait for as many entries again, after a snapshot failed at ``index``."""
        self._index = index
        self._transferring_since_s = None
        self._applied_bytes, self._apply_time_s = 0, 0.0

    def is_due(self, applied: int) -> bool:
        """Return whether a snapshot is due at the applied index."""
        return applied > self._index and (
            applied - self._index >= self._interval_entries
            or self._applied_bytes >= self._max_bytes
            or self._apply_time_s >= self._max_replay_s
        )

    def should_transfer(self, now: float) -> bool:
        """Return whether a leader should transfer leadership instead of taking a due snapshot."""
        if self._pause_s <= MAX_LEADER_PAUSE_S:
            return False
        if self._transferring_since_s is None:
            self._transferring_since_s = now
        return now - self._transferring_since_s < TRANSFER_TIMEOUT_S
