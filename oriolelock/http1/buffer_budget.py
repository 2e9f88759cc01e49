"""
oriolelock.http1.buffer_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds the memory of all responses that are being received.
"""

import collections.abc

__all__ = ["BufferBudget"]

# Responses are copied when they are complete, so that a process needs about twice as much.
MAX_TOTAL_BYTES = 32 * 1024 * 1024


class BufferBudget:
    """Bytes buffered by each response in progress. Not thread-safe.

    If all together exceed ``max_bytes``, the largest is given up: an endpoint that sends without
    end must not cost others their responses.
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES):
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._holders: dict[object, tuple[int, collections.abc.Callable[[], None]]] = {}

    def add(self, holder: object, count: int, give_up: collections.abc.Callable[[], None]) -> None:
        """Count ``count`` more bytes of a response; ``give_up()`` ends it and releases them."""
        held, _ = self._holders.get(holder, (0, give_up))
        self._holders[holder] = (held + count, give_up)
        self._total_bytes += count
        if self._total_bytes > self._max_bytes:
            _, give_up_largest = max(self._holders.values(), key=lambda entry: entry[0])
            give_up_largest()

    def release(self, holder: object) -> None:
        """Forget the bytes of a response that has ended."""
        held, _ = self._holders.pop(holder, (0, None))
        self._total_bytes -= held
