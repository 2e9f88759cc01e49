"""
oriolelock.dispatch.service_times
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Service times of one route at an idle endpoint, with and without the object cached.
"""

__all__ = ["ServiceTimes"]

# Initial estimates relative to the route's latency objective, used until there are measurements.
INITIAL_WARM_RATIO = 0.45
INITIAL_COLD_RATIO = 1.4
MIN_SAMPLE_WEIGHT = 0.1


class ServiceTimes:
    """Smoothed service times in seconds. Without affinity, ``cold_s`` equals ``warm_s``."""

    def __init__(self, objective_s: float, has_affinity: bool):
        self.has_affinity = has_affinity
        self._counts = {True: 0, False: 0}
        self.warm_s = INITIAL_WARM_RATIO * objective_s
        self.cold_s = INITIAL_COLD_RATIO * objective_s if has_affinity else self.warm_s

    def expected_s(self, warm: bool) -> float:
        """Return the expected service time in seconds."""
        return self.warm_s if warm or not self.has_affinity else self.cold_s

    def seems_warm(self, elapsed_s: float) -> bool:
        """Return whether ``elapsed_s`` is closer, by ratio, to ``warm_s`` than to ``cold_s``."""
        return elapsed_s * elapsed_s < self.warm_s * max(self.warm_s, self.cold_s)

    def observe(self, elapsed_s: float, warm: bool) -> None:
        """Record a measured service time; ``warm``: whether a cached object was expected."""
        if not self.has_affinity:
            self.warm_s = self._smoothed(True, self.warm_s, elapsed_s)
            self.cold_s = self.warm_s
        elif warm and self.seems_warm(elapsed_s):
            self.warm_s = self._smoothed(True, self.warm_s, elapsed_s)
        elif not self.seems_warm(elapsed_s):
            self.cold_s = max(self.warm_s, self._smoothed(False, self.cold_s, elapsed_s))

    def _smoothed(self, warm, old_s, elapsed_s):
        """Return the arithmetic mean of the first measurements, later an exponential average."""
        self._counts[warm] += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self._counts[warm] + 1))
        return old_s + weight * (elapsed_s - old_s)
