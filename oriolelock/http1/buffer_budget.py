"""
oriolelock.http1.buffer_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds the memory of all responses that are being received.
"""

import collections.abc
import dataclasses
import operator

__all__ = ["BufferBudget"]

# Responses are copied when they are complete, so that a process needs about twice as much.
MAX_TOTAL_BYTES = 32 * 1024 * 1024

_size = operator.attrgetter("size")


@dataclasses.dataclass(frozen=True, slots=True)
class _Holding:
    """Bytes of one response that is being received."""

    size: int
    is_size_known: bool
    give_up: collections.abc.Callable[[], None]


class BufferBudget:
    """Bytes buffered by each response in progress. Not thread-safe.

    If all together exceed ``max_bytes``, the largest is given up: an endpoint that sends without
    end must not cost others their responses. While those of unknown size hold more than half, it is
    the largest of these, as each of many endless ones may be smaller than a sound one.
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES):
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._holders: dict[object, _Holding] = {}

    def add(
        self,
        holder: object,
        count: int,
        give_up: collections.abc.Callable[[], None],
        is_size_known: bool = True,
    ) -> None:
        """Count ``count`` more bytes of a response; ``give_up()`` ends it and releases them.

        ``is_size_known``: whether the response announced its size.
        """
        held = self._holders[holder].size if holder in self._holders else 0
        self._holders[holder] = _Holding(held + count, is_size_known, give_up)
        self._total_bytes += count
        if self._total_bytes > self._max_bytes:
            self._largest().give_up()

    def release(self, holder: object) -> None:
        """Forget the bytes of a response that has ended."""
        holding = self._holders.pop(holder, None)
        if holding is not None:
            self._total_bytes -= holding.size

    def _largest(self):
        unknown = [held for held in self._holders.values() if not held.is_size_known]
        if 2 * sum(held.size for held in unknown) > self._max_bytes:
            return max(unknown, key=_size)
        return max(self._holders.values(), key=_size)
