"""
oriolelock.storage.frames
~~~~~~~~~~~~~~~~~~~~~~~~~

    Records in a file: magic, sequence number, length, crc32c, payload.

    The sequence number counts the records of a file from 0. Each record is synced before the
    next one is written, so only the last one can be torn.
"""

import dataclasses
import struct

import crc32c

__all__ = ["Parsed", "frame", "parse"]

MAGIC = b"\xf0OLR"
_HEADER = struct.Struct("<4sQI")
_CHECKSUM = struct.Struct("<I")
_PREFIX_BYTES = _HEADER.size + _CHECKSUM.size


@dataclasses.dataclass(frozen=True)
class Parsed:
    """The payloads of a file up to ``good_bytes``.

    ``damaged``: a valid record follows an invalid one, so the invalid one had been synced.
    """

    payloads: tuple[bytes, ...]
    good_bytes: int
    damaged: bool


def frame(sequence: int, payload: bytes) -> bytes:
    """Return the record for ``payload``."""
    header = _HEADER.pack(MAGIC, sequence, len(payload))
    checksum = crc32c.crc32c(payload, crc32c.crc32c(header))
    return header + _CHECKSUM.pack(checksum) + payload


def _read(data, offset):
    """Return sequence number and payload of the record at ``offset``, or None."""
    if offset + _PREFIX_BYTES > len(data):
        return None
    magic, sequence, length = _HEADER.unpack_from(data, offset)
    start = offset + _PREFIX_BYTES
    if magic != MAGIC or start + length > len(data):
        return None
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _HEADER.size)
    payload = data[start : start + length]
    header = data[offset : offset + _HEADER.size]
    if crc32c.crc32c(payload, crc32c.crc32c(header)) != checksum:
        return None
    return sequence, payload


def parse(data: bytes) -> Parsed:
    """Return the records from the start of ``data`` up to the first invalid one."""
    payloads = []
    offset = 0
    while offset < len(data):
        found = _read(data, offset)
        if found is None or found[0] != len(payloads):
            break
        payloads.append(found[1])
        offset += _PREFIX_BYTES + len(found[1])
    damaged = _has_later_record(data, offset, len(payloads))
    return Parsed(tuple(payloads), offset, damaged)


def _has_later_record(data, offset, sequence):
    position = data.find(MAGIC, offset)
    while position >= 0:
        found = _read(data, position)
        if found is not None and found[0] > sequence:
            return True
        position = data.find(MAGIC, position + 1)
    return False
