"""
oriolelock.http1.read_pacer
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Limits the time that a loop spends on parsing data in many small pieces.

    A piece costs about the same whatever its size, so that peers that send bodies in chunks of a
    few bytes could take all the time of the loop.
"""

import collections.abc

__all__ = ["PacedReads", "ReadPacer"]

MIN_READ_BYTES = 2 * 1024
FIRST_READ_BYTES = 8 * 1024
MAX_READ_BYTES = 64 * 1024
# Pieces in one read that are usual, and those from which on the next read is smaller.
FREE_PIECES = 64
MANY_PIECES = 256
# Of one piece, and the largest part of the loop's time for all that are not free.
PIECE_COST_S = 20e-6
MAX_TIME_SHARE = 0.25


class ReadPacer:
    """Shared by all connections of a loop. Not thread-safe."""

    def __init__(self) -> None:
        self._free_s = float("-inf")

    def delay_s(self, pieces: int, now: float) -> float:
        """Return how long a connection must wait after a read of so many pieces."""
        if pieces <= FREE_PIECES:
            return 0.0
        self._free_s = max(now, self._free_s) + pieces * PIECE_COST_S / MAX_TIME_SHARE
        return self._free_s - now


class PacedReads:
    """The reads of one connection; ``size``: of the next one in bytes.

    ``on_change()`` is called when ``is_paused`` has changed: while it is set, nothing may be read.
    ``loop``: an ``http1.loop.Loop``.
    """

    def __init__(self, loop, on_change: collections.abc.Callable[[], None]):
        self._loop = loop
        self._on_change = on_change
        self.size = FIRST_READ_BYTES
        self.is_paused = False

    def record(self, pieces: int, now: float) -> None:
        """Record a read, and pause if it was of many small pieces."""
        if pieces > MANY_PIECES:
            self.size = max(MIN_READ_BYTES, self.size // 2)
        else:
            self.size = min(MAX_READ_BYTES, self.size * 2)
        delay_s = self._loop.read_pacer.delay_s(pieces, now)
        if delay_s > 0.0:
            self.is_paused = True
            self._on_change()
            self._loop.call_later(delay_s, self._resume)

    def _resume(self):
        if self.is_paused:
            self.is_paused = False
            self._on_change()

    def end_pause(self) -> None:
        """End a pause without a call of ``on_change``."""
        self.is_paused = False
