"""
oriolelock.lookup.packed_blocks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Columns of the client block table.
"""

import dataclasses

import numpy as np

__all__ = ["EMPTY", "PackedBlocks"]


@dataclasses.dataclass(frozen=True, eq=False)
class PackedBlocks:
    """Columns of equal length, ordered by first address, then by prefix length.

    ``starts``: first address, uint32; ``lengths``: prefix length, uint8; ``sites``: index
    into ``names``, uint16. ``regions[i]`` is the region of the site ``names[i]``.
    """

    starts: np.ndarray
    lengths: np.ndarray
    sites: np.ndarray
    names: tuple[str, ...]
    regions: tuple[str, ...]


EMPTY = PackedBlocks(
    starts=np.empty(0, dtype="<u4"),
    lengths=np.empty(0, dtype="u1"),
    sites=np.empty(0, dtype="<u2"),
    names=(),
    regions=(),
)
