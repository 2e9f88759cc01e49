"""
oriolelock.admission.retry_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Limits retries to a fraction of first attempts, so that they do not prolong an overload.
"""

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.1
# Without a minimum rate, a service with few requests could never retry.
MIN_RETRIES_PER_S = 0.5
MAX_TOKENS = 20.0
INITIAL_TOKENS = 2.0


class RetryBudget:
    """One token bucket per service, so that a service cannot exhaust the retries of others."""

    def __init__(self):
        self._buckets: dict[str, list[float]] = {}

    def record_first_attempt(self, service: str, now: float) -> None:
        """Record a first attempt, which adds ``RETRY_SHARE`` tokens."""
        bucket = self._refilled_bucket(service, now)
        bucket[0] = min(MAX_TOKENS, bucket[0] + RETRY_SHARE)

    def try_retry(self, service: str, now: float) -> bool:
        """Consume one token; returns False if the budget is exhausted."""
        bucket = self._refilled_bucket(service, now)
        if bucket[0] < 1.0:
            return False
        bucket[0] -= 1.0
        return True

    def _refilled_bucket(self, service, now):
        bucket = self._buckets.setdefault(service, [INITIAL_TOKENS, now])
        # The minimum rate refills only up to the initial tokens, so that an idle hour does not
        # allow a burst of retries.
        if bucket[0] < INITIAL_TOKENS:
            refill = max(0.0, now - bucket[1]) * MIN_RETRIES_PER_S
            bucket[0] = min(INITIAL_TOKENS, bucket[0] + refill)
        bucket[1] = now
        return bucket

    def dump(self) -> dict[str, float]:
        """Return the remaining tokens, for the state dump."""
        return {service: round(bucket[0], 2) for service, bucket in self._buckets.items()}
