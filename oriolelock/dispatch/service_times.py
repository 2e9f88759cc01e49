"""
oriolelock.dispatch.service_times
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Service times of one route at an idle endpoint, with and without the object cached.
"""

__all__ = ["ServiceTimes"]

# Weight of one response in the share of objects that were cached without this entry knowing.
HIT_RATE_WEIGHT = 0.1

# Initial estimates relative to the route's latency objective, used until there are measurements.
INITIAL_WARM_RATIO = 0.45
INITIAL_COLD_RATIO = 1.4
MIN_SAMPLE_WEIGHT = 0.1


class ServiceTimes:
    """Smoothed service times in seconds. Without affinity, ``cold_s`` equals ``warm_s``."""

    def __init__(self, objective_s: float, has_affinity: bool):
        self.has_affinity = has_affinity
        self._counts = {True: 0, False: 0}
        # Share of responses from an object's preferred endpoint, and from others, that show that
        # the object was cached although this entry did not know it.
        self._unknown_hit_rates = {True: 0.0, False: 0.0}
        self.warm_s = INITIAL_WARM_RATIO * objective_s
        self.cold_s = INITIAL_COLD_RATIO * objective_s if has_affinity else self.warm_s

    def expected_s(self, hit_rate: float) -> float:
        """Return the expected service time in seconds; ``hit_rate``: chance of a cached object."""
        return self.cold_s + hit_rate * (self.warm_s - self.cold_s)

    def hit_rate(self, known: bool, preferred: bool) -> float:
        """Return the chance that an endpoint has the object cached, from 0 to 1.

        ``known``: this entry knows that the endpoint handled it; ``preferred``: all entries
        prefer the endpoint for the object, so that it has probably handled requests of others.
        """
        if known or not self.has_affinity:
            return 1.0
        return self._unknown_hit_rates[preferred]

    def record_unknown(self, was_hit: bool, preferred: bool) -> None:
        """Record whether an object was cached that this entry did not know to be."""
        old = self._unknown_hit_rates[preferred]
        self._unknown_hit_rates[preferred] = old + HIT_RATE_WEIGHT * (was_hit - old)

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
