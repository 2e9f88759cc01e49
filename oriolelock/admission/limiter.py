"""
oriolelock.admission.limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Adaptive limit on this entry's requests in flight at each endpoint.

    Additive increase, multiplicative decrease (Chiu and Jain, 1989). Entries that share an
    endpoint do not coordinate; each one reacts to the sheds and the latency that it observes.
"""

__all__ = ["Limiter"]

MIN_LIMIT = 1.0
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
# Without any overload, the smoothed latency of exponentially distributed service times varies by a
# factor of two around its minimum; with a weight of 0.1 it exceeds 2.5 times the minimum.
SLOW_RATIO = 2.5
LATENCY_WEIGHT = 0.05
# With fewer samples the baseline is unreliable: a single short first request would make all later
# ones look slow.
MIN_SAMPLES = 20
BASELINE_WINDOW_S = 30.0
# One overload causes several sheds at once; they are treated as a single signal.
MIN_DECREASE_INTERVAL_S = 0.1
# With four entries saturating 9 slots, an increase of one slot per round trip without a hold sheds
# 24% of the requests; these values shed 3% at nearly the same slot utilization.
INCREASE_PER_ROUND_TRIP = 0.1
HOLD_AFTER_DECREASE_S = 0.5
# Used until the first decrease, as in TCP slow start; otherwise a restarted entry would leave half
# of the slots unused for 20 round trips or more.
SLOW_START_INCREASE_PER_ROUND_TRIP = 1.0
# A limit of one is still too high if there are more entries than slots, so after a shed at the
# minimum limit the entry pauses for a few service times. Four entries on 3 slots shed 22% without
# the pause.
PAUSE_SERVICE_TIMES = 4
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 0.5


class _Baseline:
    """Minimum smoothed latency over the current and the previous window."""

    def __init__(self, latency_s, now):
        self.smoothed_s = latency_s
        self.samples = 1
        self.lowest_s = self.previous_s = float("inf")
        self.window_start = now

    def observe(self, latency_s, now) -> float:
        """Record a latency; return the ratio of smoothed latency to baseline."""
        self.samples += 1
        self.smoothed_s += max(LATENCY_WEIGHT, 1 / self.samples) * (latency_s - self.smoothed_s)
        if self.samples < MIN_SAMPLES:
            return 1.0
        if now - self.window_start > BASELINE_WINDOW_S:
            self.previous_s = self.lowest_s
            self.lowest_s = self.smoothed_s
            self.window_start = now
        self.lowest_s = min(self.lowest_s, self.smoothed_s)
        return self.smoothed_s / max(min(self.lowest_s, self.previous_s), 1e-6)


class _EndpointLimit:
    def __init__(self, slots):
        self.slots = slots
        self.limit = max(MIN_LIMIT, slots / 2)
        self.decreased_at = float("-inf")
        self.paused_until = float("-inf")
        self.mean_latency_s = MIN_PAUSE_S
        self.baselines: dict[str, _Baseline] = {}


class Limiter:
    """Adaptive concurrency limits by endpoint name."""

    def __init__(self):
        self._limits: dict[str, _EndpointLimit] = {}

    def configure(self, slots: dict[str, int]) -> None:
        """Track exactly these endpoints; limits are capped at the new number of slots."""
        for name in [name for name in self._limits if name not in slots]:
            del self._limits[name]
        for name, slot_count in slots.items():
            endpoint_limit = self._limits.setdefault(name, _EndpointLimit(slot_count))
            endpoint_limit.slots = slot_count
            endpoint_limit.limit = max(MIN_LIMIT, min(endpoint_limit.limit, slot_count))

    def forget(self, endpoint: str) -> None:
        """Drop what was observed at an endpoint, because another process has its name now."""
        endpoint_limit = self._limits.get(endpoint)
        if endpoint_limit:
            self._limits[endpoint] = _EndpointLimit(endpoint_limit.slots)

    def limit(self, endpoint: str, now: float) -> int:
        """Return how many requests may be in flight: 1 to slots.

        0 for an unknown endpoint, and during the pause after a shed at the minimum limit.
        """
        endpoint_limit = self._limits.get(endpoint)
        return (
            int(endpoint_limit.limit)
            if endpoint_limit and now >= endpoint_limit.paused_until
            else 0
        )

    def record_completion(
        self, endpoint: str, operation: str, latency_s: float, in_flight: int, now: float
    ) -> None:
        """Record a complete response; ``in_flight`` includes this request."""
        endpoint_limit = self._limits.get(endpoint)
        if endpoint_limit is None:
            return
        baseline = endpoint_limit.baselines.get(operation)
        if baseline is None:
            baseline = endpoint_limit.baselines[operation] = _Baseline(latency_s, now)
        endpoint_limit.mean_latency_s += LATENCY_WEIGHT * (
            latency_s - endpoint_limit.mean_latency_s
        )
        if baseline.observe(latency_s, now) > SLOW_RATIO:
            _decrease(
                endpoint_limit, SLOW_FACTOR, max(baseline.smoothed_s, MIN_DECREASE_INTERVAL_S), now
            )
        elif (
            in_flight >= int(endpoint_limit.limit)
            and now - endpoint_limit.decreased_at >= HOLD_AFTER_DECREASE_S
        ):
            in_slow_start = endpoint_limit.decreased_at == float("-inf")
            increase = (
                SLOW_START_INCREASE_PER_ROUND_TRIP if in_slow_start else INCREASE_PER_ROUND_TRIP
            )
            increased = endpoint_limit.limit + increase / endpoint_limit.limit
            endpoint_limit.limit = min(increased, max(MIN_LIMIT, endpoint_limit.slots))

    def record_shed(self, endpoint: str, now: float) -> None:
        """Record that the endpoint shed a request."""
        endpoint_limit = self._limits.get(endpoint)
        if endpoint_limit:
            if endpoint_limit.limit < MIN_LIMIT + 1.0:
                endpoint_limit.paused_until = now + min(
                    max(PAUSE_SERVICE_TIMES * endpoint_limit.mean_latency_s, MIN_PAUSE_S),
                    MAX_PAUSE_S,
                )
            _decrease(endpoint_limit, SHED_FACTOR, MIN_DECREASE_INTERVAL_S, now)

    def dump(self) -> dict[str, float]:
        """Return the limits, for the state dump."""
        return {
            name: round(endpoint_limit.limit, 2) for name, endpoint_limit in self._limits.items()
        }


def _decrease(endpoint_limit, factor, interval_s, now):
    if now - endpoint_limit.decreased_at >= interval_s:
        endpoint_limit.limit = max(MIN_LIMIT, endpoint_limit.limit * factor)
        endpoint_limit.decreased_at = now
