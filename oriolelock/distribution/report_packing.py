"""
oriolelock.distribution.report_packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Status reports of many entries in few bytes. Most entries are at the same index, so that
    what they have in common is sent once. Each message stands alone: a receiver needs no
    earlier one, also after a change of connection.
"""

import collections.abc
import dataclasses

from oriolelock.distribution import messages
from oriolelock.wire import codec

__all__ = ["PackedReports", "pack", "unpack"]

MS = 1000

# name, milliseconds after the group's since_ms, requests in flight, age in milliseconds
Row = tuple[str, int, int, int]
# version, index, state, since_ms (Unix time), rows
Group = tuple[int, int, str, int, tuple[Row, ...]]


@codec.register("reports")
@dataclasses.dataclass(frozen=True)
class PackedReports:
    """Reports grouped by what they have in common."""

    groups: tuple[Group, ...]


def pack(reports: collections.abc.Iterable[messages.StatusReport]) -> PackedReports:
    """Return ``reports`` in packed form; times are rounded to milliseconds."""
    groups: dict[tuple[int, int, str], list[messages.StatusReport]] = {}
    for item in reports:
        groups.setdefault((item.version, item.index, item.state), []).append(item)
    return PackedReports(tuple(_pack_group(*key, found) for key, found in groups.items()))


def _pack_group(version, index, state, reports):
    since_ms = [round(item.since_s * MS) for item in reports]
    base_ms = min(since_ms)
    rows = tuple(
        (item.name, since - base_ms, item.in_flight, round(item.age_s * MS))
        for item, since in zip(reports, since_ms, strict=True)
    )
    return version, index, state, base_ms, rows


def unpack(msg: PackedReports) -> messages.StatusBatch:
    """Return the reports in ``msg``."""
    return messages.StatusBatch(
        tuple(
            messages.StatusReport(
                name, version, index, state, (base_ms + since) / MS, in_flight, age / MS
            )
            for version, index, state, base_ms, rows in msg.groups
            for name, since, in_flight, age in rows
        )
    )
