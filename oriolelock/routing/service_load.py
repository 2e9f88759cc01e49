"""
oriolelock.routing.service_load
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Averages over all endpoints of a service, to compare single endpoints with.
"""

__all__ = ["ServiceLoad"]

MEAN_WEIGHT = 0.05


class ServiceLoad:
    """``others_share``: part of an endpoint's slots that other entries use on average."""

    def __init__(self):
        self.others_share = 0.0
        self._means_s: dict[str, float] = {}

    def observe_others(self, share: float) -> None:
        """Note what one report says about the requests of other entries."""
        self.others_share += MEAN_WEIGHT * (min(share, 2.0) - self.others_share)

    def observe_latency(self, operation: str, latency_s: float) -> float:
        """Return the ratio of this latency to the operation's mean before it."""
        mean_s = self._means_s.get(operation, latency_s)
        self._means_s[operation] = mean_s + MEAN_WEIGHT * (latency_s - mean_s)
        return latency_s / mean_s if mean_s > 0 else 1.0
