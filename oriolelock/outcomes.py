"""
oriolelock.outcomes
~~~~~~~~~~~~~~~~~~~

    How a request ends: exactly one of three outcomes.
"""

import dataclasses

__all__ = ["Complete", "NotRun", "Outcome", "Unknown"]


@dataclasses.dataclass(frozen=True)
class Complete:
    """The endpoint's whole answer to this request."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True)
class NotRun:
    """Nothing was sent, or the endpoint itself refused before running it."""

    reason: str
    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The request may have run."""

    reason: str


Outcome = Complete | NotRun | Unknown
