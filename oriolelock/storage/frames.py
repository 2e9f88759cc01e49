"""
oriolelock.storage.frames
~~~~~~~~~~~~~~~~~~~~~~~~~

    The record format of files: magic, sequence number, payload length, crc32c, payload.

    Sequence numbers start from 0 in each file. Each record is synced before the next one is
    written, so only the last record can be incomplete after a crash.
"""

import dataclasses
import struct

import crc32c

__all__ = ["ParsedFile", "encode", "parse"]

MAGIC = b"\xf0OLR"
_HEADER = struct.Struct("<4sQI")
_CHECKSUM = struct.Struct("<I")
_PREFIX_BYTES = _HEADER.size + _CHECKSUM.size


@dataclasses.dataclass(frozen=True)
class ParsedFile:
    """The payloads of the valid records, which span the first ``valid_bytes`` bytes.

    ``is_corrupt`` is true if a valid record follows an invalid one: the invalid record must have
    been synced, so it is not the result of a crash during a write.
    """

    payloads: tuple[bytes, ...]
    valid_bytes: int
    is_corrupt: bool


def encode(sequence: int, payload: bytes) -> bytes:
    """Return ``payload`` as a record with a header and a checksum."""
    header = _HEADER.pack(MAGIC, sequence, len(payload))
    checksum = crc32c.crc32c(payload, crc32c.crc32c(header))
    return header + _CHECKSUM.pack(checksum) + payload


def _read_record(data, offset):
    """Return the sequence number and payload at ``offset``, or None if no valid record is there."""
    if offset + _PREFIX_BYTES > len(data):
        return None
    magic, sequence, length = _HEADER.unpack_from(data, offset)
    payload_offset = offset + _PREFIX_BYTES
    if magic != MAGIC or payload_offset + length > len(data):
        return None
    (checksum,) = _CHECKSUM.unpack_from(data, offset + _HEADER.size)
    payload = data[payload_offset : payload_offset + length]
    header = data[offset : offset + _HEADER.size]
    if crc32c.crc32c(payload, crc32c.crc32c(header)) != checksum:
        return None
    return sequence, payload


def parse(data: bytes) -> ParsedFile:
    """Parse the records of ``data`` up to the first invalid one."""
    payloads = []
    offset = 0
    while offset < len(data):
        record = _read_record(data, offset)
        if record is None or record[0] != len(payloads):
            break
        payloads.append(record[1])
        offset += _PREFIX_BYTES + len(record[1])
    is_corrupt = _has_later_record(data, offset, len(payloads))
    return ParsedFile(tuple(payloads), offset, is_corrupt)


def _has_later_record(data, offset, sequence):
    position = data.find(MAGIC, offset)
    while position >= 0:
        record = _read_record(data, position)
        if record is not None and record[0] > sequence:
            return True
        position = data.find(MAGIC, position + 1)
    return False
