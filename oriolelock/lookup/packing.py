"""
oriolelock.lookup.packing
~~~~~~~~~~~~~~~~~~~~~~~~~

    Packed form of the client block table: 7 bytes per block plus the site names.

    One Python object per block would need over 100 bytes, which exceeds the memory limit of an
    entry at 700,000 blocks.
"""

import collections.abc
import ipaddress
import socket

import cbor2
import numpy as np

from oriolelock.lookup import packed_blocks
from oriolelock.model import errors

__all__ = ["pack", "unpack", "update"]

MAX_SITES = 65_535


def pack(table: packed_blocks.PackedBlocks) -> bytes:
    """Serialize ``table`` for messages and snapshots."""
    arrays = (table.starts, table.lengths, table.sites)
    return cbor2.dumps([list(table.names), list(table.regions), *(a.tobytes() for a in arrays)])


def unpack(data: bytes) -> packed_blocks.PackedBlocks:
    """Deserialize a table; its arrays are views of ``data``. Raises InvalidData."""
    if not data:
        return packed_blocks.EMPTY
    try:
        names, regions, starts, lengths, sites = cbor2.loads(data)
        table = packed_blocks.PackedBlocks(
            starts=np.frombuffer(starts, dtype="<u4"),
            lengths=np.frombuffer(lengths, dtype="u1"),
            sites=np.frombuffer(sites, dtype="<u2"),
            names=tuple(names),
            regions=tuple(regions),
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError) as exc:
        raise errors.InvalidData(f"block table does not decode: {exc}") from exc
    if not len(table.starts) == len(table.lengths) == len(table.sites):
        raise errors.InvalidData("block table: columns differ in length")
    return table


def _parse(block: str) -> tuple[int, int]:
    """Return the address as an integer and the prefix length; raises InvalidData.

    ``ipaddress`` takes 9 microseconds per block, which blocked every node for seconds when many
    blocks were assigned at once. It is used only for input that the fast path does not accept.
    """
    address, _, length = block.partition("/")
    if length.isascii() and length.isdigit() and len(length) <= 2 and int(length) <= 32:
        try:
            start = int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big")
        except (OSError, ValueError):
            start = None
        if start is not None and start & (0xFFFFFFFF >> int(length)) == 0:
            return start, int(length)
    try:
        network = ipaddress.IPv4Network(block)
    except ValueError as exc:
        raise errors.InvalidData(f"block {block!r}: {exc}") from exc
    return int(network.network_address), network.prefixlen


def _site_indexes(table, blocks, site_regions):
    """Return names and regions including new sites, and the index of each name."""
    names, regions = list(table.names), list(table.regions)
    indexes = {name: index for index, name in enumerate(names)}
    for name in sorted({site for _, site in blocks if site} | set(site_regions)):
        if name in indexes:
            regions[indexes[name]] = site_regions.get(name, regions[indexes[name]])
        elif name in site_regions:
            indexes[name] = len(names)
            names.append(name)
            regions.append(site_regions[name])
        else:
            raise errors.InvalidData(f"site {name!r} has no region")
    if len(names) > MAX_SITES:
        raise errors.InvalidData(f"{len(names)} sites, at most {MAX_SITES}")
    return tuple(names), tuple(regions), indexes


def _sort_keys(starts, lengths):
    return (starts.astype(np.uint64) << np.uint64(8)) | lengths.astype(np.uint64)


def update(
    data: bytes,
    blocks: collections.abc.Sequence[tuple[str, str]],
    site_regions: collections.abc.Mapping[str, str],
) -> bytes:
    """Return the packed table after assigning ``blocks`` (``a.b.c.d/n``, site).

    An empty site removes the block. Raises InvalidData for an invalid block or an unknown site.
    The cost is linear in the size of the table, with one copy of the arrays.
    """
    table = unpack(data)
    names, regions, indexes = _site_indexes(table, blocks, site_regions)
    site_by_block = {_parse(block): site for block, site in blocks}
    parsed = sorted(site_by_block)
    new_starts = np.array([start for start, _ in parsed], dtype="<u4")
    new_lengths = np.array([length for _, length in parsed], dtype="u1")
    is_kept = ~np.isin(_sort_keys(table.starts, table.lengths), _sort_keys(new_starts, new_lengths))
    is_assigned = np.array([bool(site_by_block[key]) for key in parsed], dtype=bool)
    new_sites = np.array([indexes.get(site_by_block[key], 0) for key in parsed], dtype="<u2")
    starts, lengths, sites = table.starts[is_kept], table.lengths[is_kept], table.sites[is_kept]
    positions = np.searchsorted(
        _sort_keys(starts, lengths), _sort_keys(new_starts[is_assigned], new_lengths[is_assigned])
    )
    merged = packed_blocks.PackedBlocks(
        starts=np.insert(starts, positions, new_starts[is_assigned]),
        lengths=np.insert(lengths, positions, new_lengths[is_assigned]),
        sites=np.insert(sites, positions, new_sites[is_assigned]),
        names=names,
        regions=regions,
    )
    return pack(merged)
