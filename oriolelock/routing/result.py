"""
oriolelock.routing.result
~~~~~~~~~~~~~~~~~~~~~~~~~

    Results of requests sent to endpoints, and load reports.
"""

import dataclasses
import enum

__all__ = ["Kind", "LoadReport", "Result"]


class Kind(enum.Enum):
    """How an exchange with an endpoint ended."""

    COMPLETE = "complete"  # complete response, status below 500
    ERROR = "error"  # complete response, status 500 or above
    SHED = "shed"  # rejected before running: overload
    DRAINING = "draining"  # rejected before running: the endpoint is draining
    DEADLINE = "deadline"  # rejected before running: deadline
    REFUSED = "refused"  # connection could not be opened
    TIMEOUT = "timeout"  # no complete response in time
    LOST = "lost"  # connection lost during the exchange
    SILENT = "silent"  # no first byte on a reused connection
    CRASH = "crash"  # connection lost, then new connections refused
    CANCELLED = "cancelled"  # abandoned by the entry


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load of an endpoint.

    ``age_s``: age of the measurement on arrival; ``state``: serving, cold or draining.
    """

    in_flight: int
    slots: int
    queued: int = 0
    state: str = "serving"
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one attempt.

    ``size``: bytes of request and response; ``report``: from the headers of the response.
    """

    kind: Kind
    latency_s: float = 0.0
    size: int = 0
    report: LoadReport | None = None
