"""
oriolelock.entry.basic
~~~~~~~~~~~~~~~~~~~~~~

    Minimal decisions behind the interfaces that ``routing`` and ``admission`` provide.
"""

import collections.abc
import random
import threading

from oriolelock import outcomes
from oriolelock.model import endpoint, operation, service_policy

__all__ = ["Gate", "RetryBudget", "make_picker"]

RETRY_SHARE = 0.1
RETRY_BURST = 10.0


def make_picker(
    region: str,
) -> collections.abc.Callable[
    [collections.abc.Sequence[endpoint.Endpoint], float, random.Random], endpoint.Endpoint
]:
    """Return ``pick(candidates, now, rng)``: random in ``region`` if possible, else anywhere."""

    def pick(candidates, now, rng):
        near = [e for e in candidates if e.region == region]
        return rng.choice(near or candidates)

    return pick


class Gate:
    """Limits the requests in flight per service. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._in_flight: dict[str, int] = {}

    def enter(
        self, policy: service_policy.ServicePolicy, op: operation.Operation, end_s: float
    ) -> outcomes.NotRun | None:
        """Admit a request that must end by ``end_s``, or return why not."""
        with self._lock:
            count = self._in_flight.get(policy.name, 0)
            if count >= policy.in_flight_limit:
                return outcomes.NotRun("overloaded", 100.0)
            self._in_flight[policy.name] = count + 1
        return None

    def leave(self, policy: service_policy.ServicePolicy) -> None:
        """End a request that was admitted."""
        with self._lock:
            self._in_flight[policy.name] -= 1

    def counts(self) -> dict[str, int]:
        """Return the requests in flight per service."""
        with self._lock:
            return dict(self._in_flight)


class RetryBudget:
    """Further attempts are at most a share of first attempts. Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._tokens = RETRY_BURST

    def add_first(self) -> None:
        """Count a first attempt."""
        with self._lock:
            self._tokens = min(RETRY_BURST, self._tokens + RETRY_SHARE)

    def take(self) -> bool:
        """Return True if another attempt may be made, and count it."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True
