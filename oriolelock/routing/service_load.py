"""
oriolelock.routing.service_load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Averages over all endpoints of a service, used as a reference for each endpoint.
"""

__all__ = ["ServiceLoad"]

SMOOTHING_WEIGHT = 0.05


class ServiceLoad:
    """Exponential moving averages for one service.

    ``others_share``: average share of an endpoint's slots in use by other entries.
    """

    def __init__(self):
        self.others_share = 0.0
        self._mean_latency_s: dict[str, float] = {}

    def observe_others(self, share: float) -> None:
        """Record the share of slots in use by other entries according to one report."""
        self.others_share += SMOOTHING_WEIGHT * (min(share, 2.0) - self.others_share)

    def observe_latency(self, operation: str, latency_s: float) -> float:
        """Record a latency; return its ratio to the operation's previous mean."""
        mean_s = self._mean_latency_s.get(operation, latency_s)
        self._mean_latency_s[operation] = mean_s + SMOOTHING_WEIGHT * (latency_s - mean_s)
        return latency_s / mean_s if mean_s > 0 else 1.0
