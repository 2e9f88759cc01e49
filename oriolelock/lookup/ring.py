"""
oriolelock.lookup.ring
~~~~~~~~~~~~~~~~~~~~~~

    A consistent hash ring (Karger et al., 1997) of members.
"""

import collections.abc
import functools

import numpy as np
import xxhash

from oriolelock.model import member

__all__ = ["Ring"]

# Points per member; with 32 the load of members differs by about a fifth.
POINTS = 32
MAX_CACHED_NAMES = 20_000


@functools.lru_cache(maxsize=MAX_CACHED_NAMES)
def _points(name: str) -> np.ndarray:
    data = name.encode()
    found = [xxhash.xxh3_64_intdigest(data, seed=seed) for seed in range(POINTS)]
    return np.array(found, dtype=np.uint64)


class Ring:
    """Read-only. A change of one member moves only the keys next to its points."""

    def __init__(self, members: collections.abc.Sequence[member.Member]):
        self._members = tuple(members)
        if self._members:
            points = np.concatenate([_points(m.name) for m in self._members])
            order = np.argsort(points, kind="stable")
            self._points = points[order]
            self._owners = (order // POINTS).astype(np.int32)
        else:
            self._points = np.empty(0, dtype=np.uint64)
            self._owners = np.empty(0, dtype=np.int32)

    def __len__(self) -> int:
        return len(self._members)

    def walk(self, key: int) -> collections.abc.Iterator[member.Member]:
        """Yield each member once, in the order of the ring from ``key`` (64 bits) on."""
        size = len(self._points)
        start = int(self._points.searchsorted(np.uint64(key)))
        seen = set()
        for step in range(size):
            owner = int(self._owners[(start + step) % size])
            if owner not in seen:
                seen.add(owner)
                yield self._members[owner]
                if len(seen) == len(self._members):
                    return
