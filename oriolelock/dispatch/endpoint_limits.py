"""
oriolelock.dispatch.endpoint_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The request rates that endpoints announce for themselves, as known to one entry.
"""

import collections.abc
import dataclasses
import math

__all__ = ["UNLIMITED", "EndpointLimits", "Statement"]

UNLIMITED = math.inf
# A statement that no response has confirmed for this long is no longer valid.
STATEMENT_LIFETIME_S = 20.0


@dataclasses.dataclass(frozen=True)
class Statement:
    """``rate``: requests per second that the endpoint takes from all entries together, or
    ``UNLIMITED``; ``stated_s``: time of the response that announced it, monotonic seconds."""

    rate: float
    stated_s: float


class EndpointLimits:
    """Latest statement of each endpoint, by name. Not thread-safe; times are monotonic seconds."""

    def __init__(self) -> None:
        self._statements: dict[str, Statement] = {}

    def record(self, endpoint: str, rate: float, stated_s: float) -> bool:
        """Record a statement unless a newer one is known; returns whether the rate changed."""
        known = self._statements.get(endpoint)
        if known is None and rate == UNLIMITED:
            return False
        if known is not None and known.stated_s >= stated_s:
            return False
        self._statements[endpoint] = Statement(rate, stated_s)
        return known is None or known.rate != rate

    def rate(self, endpoint: str, now: float) -> float:
        """Return the announced rate in requests per second, or ``UNLIMITED``."""
        known = self._statements.get(endpoint)
        if known is None or now - known.stated_s > STATEMENT_LIFETIME_S:
            return UNLIMITED
        return known.rate

    def limited_count(self, now: float) -> int:
        """Return the number of endpoints with an announced rate."""
        return sum(self.rate(name, now) != UNLIMITED for name in self._statements)

    def retain(self, endpoints: collections.abc.Container[str]) -> None:
        """Drop the state of endpoints that are not in ``endpoints``."""
        self._statements = {k: v for k, v in self._statements.items() if k in endpoints}
