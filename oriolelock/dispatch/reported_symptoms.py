"""
oriolelock.dispatch.reported_symptoms
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What other entries report of one endpoint's symptoms.

    In a large fleet an entry seldom sends to the same endpoint twice, and would have to find out by
    itself what others know. A fault between one failure domain and the endpoints looks like faults
    of all endpoints, so that reports count once they come from entries of two domains.
"""

__all__ = ["ReportedSymptoms"]

# Nothing is sent to an endpoint that is avoided, so that nothing new is learned of it.
HOLD_S = 4.0
MIN_DOMAINS = 2
# Bounds what the reports of one entry can do.
MAX_RATIO = 20.0


class ReportedSymptoms:
    """Not thread-safe; times are monotonic seconds."""

    def __init__(self) -> None:
        # By digest of the reporting entry's failure domain: time, and time and ratio.
        self._unreachable: dict[int, float] = {}
        self._slow: dict[int, tuple[float, float]] = {}

    def record_unreachable(self, domain_digest: int, now: float) -> None:
        """Record a report that no connection to the endpoint could be opened."""
        self._unreachable[domain_digest] = now

    def record_slowness(self, domain_digest: int, ratio: float, now: float) -> None:
        """Record a report that the endpoint takes ``ratio`` times as long as expected."""
        self._slow[domain_digest] = (now, min(MAX_RATIO, max(1.0, ratio)))

    def record_contact(self) -> None:
        """Record that the endpoint has responded to an entry."""
        self._unreachable.clear()

    def is_unreachable(self, now: float) -> bool:
        """Return whether entries of several failure domains fail to connect."""
        return sum(now - at_s <= HOLD_S for at_s in self._unreachable.values()) >= MIN_DOMAINS

    def slowness(self, now: float) -> float:
        """Return the ratio of response time to expected time that several domains confirm."""
        fresh = sorted(ratio for at_s, ratio in self._slow.values() if now - at_s <= HOLD_S)
        return fresh[-MIN_DOMAINS] if len(fresh) >= MIN_DOMAINS else 1.0
