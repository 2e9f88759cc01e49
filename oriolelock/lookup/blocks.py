"""
oriolelock.lookup.blocks
~~~~~~~~~~~~~~~~~~~~~~~~

    Finds the site of a client by longest prefix match on its address.
"""

import ipaddress

import numpy as np

from oriolelock.lookup import packing
from oriolelock.lookup import site as sites

__all__ = ["BlockTable"]

NO_PARENT = -1


class BlockTable:
    """Read-only lookup table, built from its packed form (see ``lookup.packing``)."""

    def __init__(self, data: bytes):
        self._table = packing.unpack(data)
        self._starts = self._table.starts
        host_bits = (32 - self._table.lengths).astype(np.uint64)
        ends = self._starts.astype(np.uint64) + (np.uint64(1) << host_bits) - np.uint64(1)
        self._ends = ends.astype(np.uint32)
        self._parents = _find_parents(self._starts, self._ends)

    def __len__(self) -> int:
        return len(self._starts)

    @property
    def size_bytes(self) -> int:
        """Return the memory size of the columns in bytes."""
        columns = (self._starts, self._table.lengths, self._table.sites, self._ends)
        parents = 0 if self._parents is None else self._parents.nbytes
        return sum(column.nbytes for column in columns) + parents

    def find(self, address: int) -> sites.Site | None:
        """Return the site of an IPv4 address given as an integer, or None."""
        if address < 0 or address > 0xFFFFFFFF:
            return None
        position = int(self._starts.searchsorted(np.uint32(address), side="right")) - 1
        while position >= 0 and address > self._ends[position]:
            position = NO_PARENT if self._parents is None else int(self._parents[position])
        if position < 0:
            return None
        site_index = self._table.sites[position]
        return sites.Site(self._table.names[site_index], self._table.regions[site_index])

    def find_text(self, address: str) -> sites.Site | None:
        """Like ``find``, for dotted notation; returns None for anything but an IPv4 address."""
        try:
            return self.find(int(ipaddress.IPv4Address(address)))
        except ValueError:
            return None


def _find_parents(starts, ends):
    """Return the index of the smallest enclosing block of each block.

    Returns None if no blocks overlap.
    """
    if len(starts) < 2 or bool(np.all(ends[:-1] < starts[1:])):
        return None
    parents = np.full(len(starts), NO_PARENT, dtype=np.int32)
    enclosing_blocks: list[tuple[int, int]] = []
    for position, (start, end) in enumerate(zip(starts.tolist(), ends.tolist(), strict=True)):
        while enclosing_blocks and enclosing_blocks[-1][1] < start:
            enclosing_blocks.pop()
        if enclosing_blocks:
            parents[position] = enclosing_blocks[-1][0]
        enclosing_blocks.append((position, end))
    return parents
