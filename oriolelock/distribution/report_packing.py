"""
oriolelock.distribution.report_packing
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Packs the status reports of many entries into few bytes. Most entries are at the same index,
    so the fields that they share are sent once. Each message can be read without earlier ones,
    also after a reconnect.
"""

import collections.abc
import dataclasses

from oriolelock.distribution import messages
from oriolelock.wire import codec

__all__ = ["PackedReports", "pack", "unpack"]

MS_PER_S = 1000

# name, offset from the group's since_ms in milliseconds, requests in flight, age in milliseconds
Row = tuple[str, int, int, int]
# version, index, state, since_ms (Unix time), rows
Group = tuple[int, int, str, int, tuple[Row, ...]]


@codec.register("reports")
@dataclasses.dataclass(frozen=True)
class PackedReports:
    """Reports grouped by version, index and state."""

    groups: tuple[Group, ...]


def pack(reports: collections.abc.Iterable[messages.StatusReport]) -> PackedReports:
    """Return ``reports`` in packed form; times are rounded to milliseconds."""
    groups: dict[tuple[int, int, str], list[messages.StatusReport]] = {}
    for report in reports:
        groups.setdefault((report.version, report.index, report.state), []).append(report)
    return PackedReports(tuple(_pack_group(*key, members) for key, members in groups.items()))


def _pack_group(version, index, state, reports):
    since_ms = [round(report.since_s * MS_PER_S) for report in reports]
    base_ms = min(since_ms)
    rows = tuple(
        (report.name, since - base_ms, report.in_flight, round(report.age_s * MS_PER_S))
        for report, since in zip(reports, since_ms, strict=True)
    )
    return version, index, state, base_ms, rows


def unpack(msg: PackedReports) -> messages.StatusBatch:
    """Return the reports in ``msg``."""
    return messages.StatusBatch(
        tuple(
            messages.StatusReport(
                name, version, index, state, (base_ms + since) / MS_PER_S, in_flight, age / MS_PER_S
            )
            for version, index, state, base_ms, rows in msg.groups
            for name, since, in_flight, age in rows
        )
    )
