"""
oriolelock.endpoints.load_report
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Load that an endpoint reports with each response.
"""

import collections.abc
import dataclasses

__all__ = ["LoadReport", "parse"]

STATES = ("serving", "cold", "draining")


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Running requests, maximum concurrent requests, queued requests, and state."""

    in_flight: int
    slots: int
    queued: int
    state: str


def parse(headers: collections.abc.Mapping[str, str]) -> LoadReport | None:
    """Return the report in ``headers`` (lower-case names), or None if absent or malformed."""
    fields = {}
    for part in headers.get("x-load", "").split(";"):
        name, _, value = part.strip().partition("=")
        if value.isascii() and value.isdigit() and len(value) < 10:
            fields[name] = int(value)
    state = headers.get("x-state", "serving").strip().lower()
    if not {"in_flight", "slots", "queued"} <= fields.keys() or state not in STATES:
        return None
    return LoadReport(fields["in_flight"], fields["slots"], fields["queued"], state)
