"""
oriolelock.lookup.blocks
~~~~~~~~~~~~~~~~~~~~~~~~

    Finds the site of a client: the longest block that contains its address.
"""

import ipaddress

import numpy as np

from oriolelock.lookup import packing
from oriolelock.lookup import site as sites

__all__ = ["BlockTable"]

NO_PARENT = -1


class BlockTable:
    """A read-only table built from its packed form (see ``lookup.packing``)."""

    def __init__(self, data: bytes):
        self._table = packing.unpack(data)
        self._starts = self._table.starts
        hosts = (32 - self._table.lengths).astype(np.uint64)
        ends = self._starts.astype(np.uint64) + (np.uint64(1) << hosts) - np.uint64(1)
        self._ends = ends.astype(np.uint32)
        self._parents = _parents(self._starts, self._ends)

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def size_bytes(self) -> int:
        """Return the bytes that the columns take in memory."""
        columns = (self._starts, self._table.lengths, self._table.sites, self._ends)
        parents = 0 if self._parents is None else self._parents.nbytes
        return sum(column.nbytes for column in columns) + parents

    def find(self, address: int) -> sites.Site | None:
        """Return the site of an IPv4 address given as a number, or None."""
        if address < 0 or address > 0xFFFFFFFF:
            return None
        n = int(self._starts.searchsorted(np.uint32(address), side="right")) - 1
        while n >= 0 and address > self._ends[n]:
            n = NO_PARENT if self._parents is None else int(self._parents[n])
        if n < 0:
            return None
        index = self._table.sites[n]
        return sites.Site(self._table.names[index], self._table.regions[index])

    def find_text(self, address: str) -> sites.Site | None:
        """As ``find``, for dotted text; None for anything that is not an IPv4 address."""
        try:
            return self.find(int(ipaddress.IPv4Address(address)))
        except ValueError:
            return None


def _parents(starts, ends):
    """Return for each block the block around it, or None when no two overlap."""
    if len(starts) < 2 or bool(np.all(ends[:-1] < starts[1:])):
        return None
    parents = np.full(len(starts), NO_PARENT, dtype=np.int32)
    open_blocks: list[tuple[int, int]] = []
    for n, (start, end) in enumerate(zip(starts.tolist(), ends.tolist(), strict=True)):
        while open_blocks and open_blocks[-1][1] < start:
            open_blocks.pop()
        if open_blocks:
            parents[n] = open_blocks[-1][0]
        open_blocks.append((n, end))
    return parents
