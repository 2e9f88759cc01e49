"""
oriolelock.pauses
~~~~~~~~~~~~~~~~~

    Detects that the process did not run for a while, so that what it reads next may be outdated.
"""

from oriolelock import events

__all__ = ["PauseDetector"]

# Ticks come every half a second; a busy process may be late.
MIN_PAUSE_S = 1.2
# For reading what had arrived meanwhile.
CATCH_UP_S = 0.3

log = events.Events("process")


class PauseDetector:
    """Any thread may call the methods. ``now`` is in monotonic seconds."""

    def __init__(self, now: float):
        self._ticked_s = now
        self._pause_s = 0.0
        self._resumed_s = float("-inf")

    def tick(self, now: float) -> None:
        """Record that the process runs; to be called every half a second."""
        gap_s = now - self._ticked_s
        self._ticked_s = now
        if gap_s > MIN_PAUSE_S:
            self._pause_s, self._resumed_s = gap_s, now
            log.notable("resumed", after_s=gap_s)

    def lag_s(self, now: float) -> float:
        """Return for how long what is read now may have waited, 0 unless there was a pause."""
        gap_s = now - self._ticked_s
        if gap_s > MIN_PAUSE_S:
            return gap_s
        return self._pause_s if now - self._resumed_s < CATCH_UP_S else 0.0
