"""
oriolelock.bench.stream
~~~~~~~~~~~~~~~~~~~~~~~

    One kind of work that a load generator sends.
"""

import dataclasses

__all__ = ["Stream"]


@dataclasses.dataclass(frozen=True)
class Stream:
    """Poisson arrivals of one operation.

    ``rate_per_s`` applies from ``start_s`` to ``end_s`` of the run. ``keyed`` work carries a
    new idempotency key per request.
    """

    name: str
    service: str
    operation: str
    rate_per_s: float
    deadline_ms: int
    keyed: bool = False
    body: bytes = b""
    start_s: float = 0.0
    end_s: float = float("inf")
