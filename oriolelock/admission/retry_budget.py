"""
oriolelock.admission.retry_budget
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Bounds retries to a share of first attempts, so that retries don't prolong an overload.
"""

__all__ = ["RetryBudget"]

RETRY_SHARE = 0.1
# Without a minimum, a service with few requests could never retry.
MIN_RETRIES_PER_S = 0.5
MAX_TOKENS = 20.0
INITIAL_TOKENS = 2.0


class RetryBudget:
    """One token bucket per service, so that one service can't use up the retries of others."""

    def __init__(self):
        self._buckets: dict[str, list[float]] = {}

    def first_attempt(self, service: str, now: float) -> None:
        """Note a first attempt, which earns a share of a retry."""
        bucket = self._refilled(service, now)
        bucket[0] = min(MAX_TOKENS, bucket[0] + RETRY_SHARE)

    def try_retry(self, service: str, now: float) -> bool:
        """Take one retry from the budget; False when it is used up."""
        bucket = self._refilled(service, now)
        if bucket[0] < 1.0:
            return False
        bucket[0] -= 1.0
        return True

    def _refilled(self, service, now):
        bucket = self._buckets.setdefault(service, [INITIAL_TOKENS, now])
        # The minimum rate alone never saves up more than the initial tokens: after a quiet
        # hour it must not pay for a burst of retries.
        if bucket[0] < INITIAL_TOKENS:
            earned = max(0.0, now - bucket[1]) * MIN_RETRIES_PER_S
            bucket[0] = min(INITIAL_TOKENS, bucket[0] + earned)
        bucket[1] = now
        return bucket

    def dump(self) -> dict[str, float]:
        """Return the tokens left, for a state dump."""
        return {service: round(bucket[0], 2) for service, bucket in self._buckets.items()}
