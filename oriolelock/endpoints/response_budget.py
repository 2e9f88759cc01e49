"""
oriolelock.endpoints.response_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds the memory of all responses that an entry's threads are receiving.
"""

import threading

__all__ = ["SHARED", "ResponseBudget"]

MAX_TOTAL_BYTES = 96 * 1024 * 1024


class ResponseBudget:
    """Bytes received by each transfer in progress; thread-safe.

    When all together exceed ``max_bytes``, a transfer that holds more than an equal share can't
    grow: endpoints that send without end must not cost others their responses. While transfers of
    unknown size hold more than half, those that announced theirs share the other half, as each of
    many endless ones may be smaller than a sound one.
    """

    def __init__(self, max_bytes: int = MAX_TOTAL_BYTES):
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._held: dict[int, int] = {}
        self._known: set[int] = set()
        self._total_bytes = 0

    def resize(self, holder: int, size: int, is_size_known: bool = False) -> bool:
        """Set the bytes of a transfer; returns False, without a change, if it must be given up.

        ``is_size_known``: whether the response announced its size.
        """
        with self._lock:
            total = self._total_bytes + size - self._held.get(holder, 0)
            if total > self._max_bytes and size > self._share(holder, is_size_known):
                return False
            self._held[holder], self._total_bytes = size, total
            if is_size_known:
                self._known.add(holder)
            return True

    def _share(self, holder, is_size_known):
        share = self._max_bytes / len(self._held.keys() | {holder})
        if not is_size_known:
            return share
        unknown = sum(size for name, size in self._held.items() if name not in self._known)
        if 2 * unknown <= self._max_bytes:
            return share
        return max(share, self._max_bytes / 2 / len(self._known | {holder}))

    def release(self, holder: int) -> None:
        """Forget a transfer that has ended."""
        with self._lock:
            self._total_bytes -= self._held.pop(holder, 0)
            self._known.discard(holder)


SHARED = ResponseBudget()
