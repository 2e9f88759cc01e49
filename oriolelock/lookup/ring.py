"""
oriolelock.lookup.ring
~~~~~~~~~~~~~~~~~~~~~~

    Consistent hash ring (Karger et al., 1997) of members.
"""

import collections.abc
import functools

import numpy as np
import xxhash

from oriolelock.model import member

__all__ = ["Ring"]

# With 32 points, the load of the members differs by about a fifth.
POINTS_PER_MEMBER = 32
MAX_CACHED_NAMES = 20_000


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _member_points(name: str) -> np.ndarray:
    encoded_name = name.encode()
    hashes = [
        xxhash.xxh3_64_intdigest(encoded_name, seed=seed) for seed in range(POINTS_PER_MEMBER)
    ]
    return np.array(hashes, dtype=np.uint64)


class Ring:
    """Read-only ring; adding or removing a member moves only the keys next to its points."""

    def __init__(self, members: collections.abc.Sequence[member.Member]):
        self._members = tuple(members)
        if self._members:
            points = np.concatenate([_member_points(m.name) for m in self._members])
            order = np.argsort(points, kind="stable")
            self._points = points[order]
            self._owners = (order // POINTS_PER_MEMBER).astype(np.int32)
        else:
            self._points = np.empty(0, dtype=np.uint64)
            self._owners = np.empty(0, dtype=np.int32)

    def __len__(self) -> int:
        return len(self._members)

    def walk(self, key: int) -> collections.abc.Iterator[member.Member]:
        """Yield each member once, in ring order starting at ``key`` (a 64-bit integer)."""
        size = len(self._points)
        start = int(self._points.searchsorted(np.uint64(key)))
        yielded = set()
        for step in range(size):
            owner = int(self._owners[(start + step) % size])
            if owner not in yielded:
                yielded.add(owner)
                yield self._members[owner]
                if len(yielded) == len(self._members):
                    return
