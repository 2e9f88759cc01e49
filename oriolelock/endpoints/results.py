"""
oriolelock.endpoints.results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Results of an exchange with an endpoint: exactly one of these classes.

    ``elapsed_s`` is the time since the call. ``silent_connections`` is the number of reused
    connections that gave no first byte in time and were replaced; it does not indicate an
    endpoint failure.
"""

import dataclasses

from oriolelock.endpoints import load_report

__all__ = [
    "InvalidResponse",
    "Completed",
    "ConnectionLost",
    "FINAL_STATUSES",
    "NotSent",
    "RefusedByEndpoint",
    "Result",
    "TimedOut",
]

# Statuses that a complete response may have (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)


@dataclasses.dataclass(frozen=True)
class Completed:
    """A complete response to the request, with a status of ``FINAL_STATUSES``.

    Header names are as sent by the endpoint.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    elapsed_s: float
    load: load_report.LoadReport | None = None
    silent_connections: int = 0


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing was sent. Reasons: ``refused``, ``connect-timeout``, ``no-connection``."""

    reason: str
    elapsed_s: float
    silent_connections: int = 0


@dataclasses.dataclass(frozen=True)
class RefusedByEndpoint:
    """The endpoint did not run the request. Reasons: ``shed``, ``draining``, ``deadline``."""

    reason: str
    elapsed_s: float
    load: load_report.LoadReport | None = None
    silent_connections: int = 0


@dataclasses.dataclass(frozen=True)
class ConnectionLost:
    """The connection was lost after the request may have been sent, before any response."""

    elapsed_s: float
    silent_connections: int = 0


@dataclasses.dataclass(frozen=True)
class TimedOut:
    """No complete response in time after the request may have been sent."""

    elapsed_s: float
    silent_connections: int = 0


@dataclasses.dataclass(frozen=True)
class InvalidResponse:
    """An invalid response, which is not passed on.

    Reasons: ``crossed`` (response to another request), ``short``, ``no-length``, ``too-large``,
    ``malformed``.
    """

    reason: str
    elapsed_s: float
    silent_connections: int = 0


Result = Completed | NotSent | RefusedByEndpoint | ConnectionLost | TimedOut | InvalidResponse
