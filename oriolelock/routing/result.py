"""
oriolelock.routing.result
~~~~~~~~~~~~~~~~~~~~~~~~~

    What became of a request that was sent to an endpoint, and load reports.
"""

import dataclasses
import enum

__all__ = ["Kind", "LoadReport", "Result"]


class Kind(enum.Enum):
    """How an exchange with an endpoint ended."""

    COMPLETE = "complete"  # complete response, status below 500
    ERROR = "error"  # complete response, status 500 or above
    SHED = "shed"  # refused before running: load
    DRAINING = "draining"  # refused before running: the endpoint is leaving
    DEADLINE = "deadline"  # refused before running: deadline
    REFUSED = "refused"  # no connection could be opened
    TIMEOUT = "timeout"  # no response in time
    LOST = "lost"  # connection lost during the exchange
    SILENT = "silent"  # reused connection that had gone silent
    CRASH = "crash"  # connection lost, then connection refused
    CANCELLED = "cancelled"  # given up by the entry


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """``age_s``: how old the figures were on arrival. ``state``: serving, cold or draining."""

    in_flight: int
    slots: int
    queued: int = 0
    state: str = "serving"
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """``size``: bytes of request and response. ``report``: from the response's headers."""

    kind: Kind
    latency_s: float = 0.0
    size: int = 0
    report: LoadReport | None = None
