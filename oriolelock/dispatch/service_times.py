"""
oriolelock.dispatch.service_times
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    How long requests of one route take at an idle endpoint, with and without the object at hand.
"""

__all__ = ["ServiceTimes"]

# First guesses as parts of the route's latency objective, until answers tell.
FIRST_WARM_PART = 0.45
FIRST_COLD_PART = 1.4
WEIGHT = 0.1


class ServiceTimes:
    """Smoothed service times in seconds; routes without affinity only know ``warm_s``."""

    def __init__(self, objective_s: float, has_affinity: bool):
        self.has_affinity = has_affinity
        self._counts = {True: 0, False: 0}
        self.warm_s = FIRST_WARM_PART * objective_s
        self.cold_s = FIRST_COLD_PART * objective_s if has_affinity else self.warm_s

    def expected_s(self, warm: bool) -> float:
        """Return the expected service time."""
        return self.warm_s if warm or not self.has_affinity else self.cold_s

    def seems_warm(self, elapsed_s: float) -> bool:
        """Return whether a time is nearer to that of warm requests (by ratio)."""
        return elapsed_s * elapsed_s < self.warm_s * max(self.warm_s, self.cold_s)

    def observe(self, elapsed_s: float, warm: bool) -> None:
        """Take a measured service time; ``warm`` is what was expected."""
        if not self.has_affinity:
            self.warm_s = self._smoothed(True, self.warm_s, elapsed_s)
            self.cold_s = self.warm_s
        elif warm and self.seems_warm(elapsed_s):
            self.warm_s = self._smoothed(True, self.warm_s, elapsed_s)
        elif not self.seems_warm(elapsed_s):
            self.cold_s = max(self.warm_s, self._smoothed(False, self.cold_s, elapsed_s))

    def _smoothed(self, warm, old_s, elapsed_s):
        """Return the mean of the first measurements, then a moving average."""
        self._counts[warm] += 1
        weight = max(WEIGHT, 1.0 / (self._counts[warm] + 1))
        return old_s + weight * (elapsed_s - old_s)
