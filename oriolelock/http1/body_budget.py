"""
oriolelock.http1.body_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds the memory of all requests that a process holds, and of responses that callers have not
    taken yet.
"""

import collections.abc

from oriolelock.http1 import buffer_budget

__all__ = ["BodyBudget"]

# Larger bodies share MAX_LARGE_BYTES, smaller ones MAX_SMALL_BYTES, so that a few large ones never
# cost the many small ones their place.
SMALL_BYTES = 256 * 1024
MAX_SMALL_BYTES = 16 * 1024 * 1024
MAX_LARGE_BYTES = 64 * 1024 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024


class BodyBudget:
    """Bytes held for each connection. Not thread-safe.

    A body that is announced counts as a whole from the start: one that could not be finished would
    only cost the others their memory.
    """

    def __init__(self, max_large_bytes: int = MAX_LARGE_BYTES):
        self._max_large_bytes = max_large_bytes
        self._held: dict[object, int] = {}
        self._small_bytes = 0
        self._large_bytes = 0
        self._unsent = buffer_budget.BufferBudget(MAX_UNSENT_BYTES)

    def hold(self, holder: object, size: int) -> bool:
        """Set the bytes of a request; returns False, without a change, if there is no room.

        A single large body is accepted whatever its size.
        """
        held = self._held.get(holder, 0)
        small, large = self._small_bytes, self._large_bytes
        if held <= SMALL_BYTES:
            small -= held
        else:
            large -= held
        if size <= SMALL_BYTES:
            fits = small + size <= MAX_SMALL_BYTES or size <= held
            small += size
        else:
            fits = not large or large + size <= self._max_large_bytes
            large += size
        if fits:
            self._held[holder], self._small_bytes, self._large_bytes = size, small, large
        return fits

    def release(self, holder: object) -> None:
        """Forget the bytes of a request that has ended."""
        self.hold(holder, 0)
        del self._held[holder]

    def add_unsent(
        self, holder: object, size: int, give_up: collections.abc.Callable[[], None]
    ) -> None:
        """Count a response that its caller has not taken; ``give_up()`` ends the connection.

        If all together are too large, the largest is given up.
        """
        self._unsent.add(holder, size, give_up)

    def release_unsent(self, holder: object) -> None:
        """Forget a response that was sent or given up."""
        self._unsent.release(holder)
