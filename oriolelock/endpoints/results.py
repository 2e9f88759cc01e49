"""
oriolelock.endpoints.results
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    How one exchange with one endpoint ends: exactly one of these classes.

    ``elapsed_s`` counts from the call. ``silent`` is the number of kept connections that gave
    no first byte in time and were replaced; it says nothing against the endpoint.
"""

import dataclasses

from oriolelock.endpoints import load_report

__all__ = [
    "BadAnswer",
    "Completed",
    "ConnectionLost",
    "NotSent",
    "RefusedByEndpoint",
    "Result",
    "TimedOut",
]


@dataclasses.dataclass(frozen=True)
class Completed:
    """The whole answer to this request. Header names are as the endpoint sent them."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    elapsed_s: float
    load: load_report.LoadReport | None = None
    silent: int = 0


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Nothing was sent. Reasons: ``refused``, ``connect-timeout``, ``no-connection``."""

    reason: str
    elapsed_s: float
    silent: int = 0


@dataclasses.dataclass(frozen=True)
class RefusedByEndpoint:
    """The endpoint refused before running. Reasons: ``shed``, ``draining``, ``deadline``."""

    reason: str
    elapsed_s: float
    load: load_report.LoadReport | None = None
    silent: int = 0


@dataclasses.dataclass(frozen=True)
class ConnectionLost:
    """The connection broke after the request may have been sent, before any answer."""

    elapsed_s: float
    silent: int = 0


@dataclasses.dataclass(frozen=True)
class TimedOut:
    """No whole answer in time after the request may have been sent."""

    elapsed_s: float
    silent: int = 0


@dataclasses.dataclass(frozen=True)
class BadAnswer:
    """An answer that is not passed on.

    Reasons: ``crossed`` (other request id), ``short``, ``no-length``, ``too-large``,
    ``malformed``.
    """

    reason: str
    elapsed_s: float
    silent: int = 0


Result = Completed | NotSent | RefusedByEndpoint | ConnectionLost | TimedOut | BadAnswer
