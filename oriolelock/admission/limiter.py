"""
oriolelock.admission.limiter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Adaptive limit of this entry's requests in flight at each endpoint.

    Additive increase, multiplicative decrease (Chiu and Jain, 1989). Entries that share an
    endpoint don't ask one another; each sees its sheds and its latency.
"""

__all__ = ["Limiter"]

FLOOR = 1.0
SHED_FACTOR = 0.7
SLOW_FACTOR = 0.9
# The smoothed latency of exponentially distributed requests varies by a factor of two around its
# lowest value without any overload; with a weight of 0.1 it passes 2.5 times that value.
SLOW_RATIO = 2.5
LATENCY_WEIGHT = 0.05
# The mean of fewer requests says nothing: one short first request as the baseline would make all
# later ones look slow.
MIN_SAMPLES = 20
BASELINE_WINDOW_S = 30.0
# One overload causes several sheds at once; they count as one signal.
MIN_DECREASE_INTERVAL_S = 0.1
# Four entries on 9 slots, all with more demand than that: an increase of one slot per round trip
# without a hold makes 24% of the requests shed, this one 3%, at nearly the same use of the slots.
INCREASE_PER_ROUND = 0.1
HOLD_AFTER_DECREASE_S = 0.5
# Until the first decrease, as in the slow start of TCP: a restarted entry would otherwise leave
# half of the slots unused for 20 round trips or more.
FIRST_INCREASE_PER_ROUND = 1.0
# A limit of one is still too much when there are more entries than slots. After a shed at the
# floor the entry waits for a few service times (four entries on 3 slots: 22% shed without).
REST_ROUNDS = 4
MIN_REST_S = 0.01
MAX_REST_S = 0.5


class _Baseline:
    """Lowest smoothed latency of the current and the previous window."""

    def __init__(self, latency_s, now):
        self.smoothed_s = latency_s
        self.samples = 1
        self.lowest_s = self.previous_s = float("inf")
        self.window_start = now

    def observe(self, latency_s, now) -> float:
        """Return the ratio of smoothed latency to baseline."""
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
        self.limit = max(FLOOR, slots / 2)
        self.decreased_at = float("-inf")
        self.rest_until = float("-inf")
        self.latency_s = MIN_REST_S
        self.baselines: dict[str, _Baseline] = {}


class Limiter:
    """Limits by endpoint name."""

    def __init__(self):
        self._limits: dict[str, _EndpointLimit] = {}

    def configure(self, slots: dict[str, int]) -> None:
        """Keep exactly these endpoints; a limit above the new number of slots is cut."""
        for name in [name for name in self._limits if name not in slots]:
            del self._limits[name]
        for name, count in slots.items():
            item = self._limits.setdefault(name, _EndpointLimit(count))
            item.slots = count
            item.limit = max(FLOOR, min(item.limit, count))

    def limit(self, endpoint: str, now: float) -> int:
        """Return how many requests may be in flight: 1 to slots.

        0 for an unknown endpoint, and for a few service times after a shed at the floor.
        """
        item = self._limits.get(endpoint)
        return int(item.limit) if item and now >= item.rest_until else 0

    def completed(
        self, endpoint: str, operation: str, latency_s: float, in_flight: int, now: float
    ) -> None:
        """Note a complete answer; ``in_flight`` counts this request."""
        item = self._limits.get(endpoint)
        if item is None:
            return
        baseline = item.baselines.get(operation)
        if baseline is None:
            baseline = item.baselines[operation] = _Baseline(latency_s, now)
        item.latency_s += LATENCY_WEIGHT * (latency_s - item.latency_s)
        if baseline.observe(latency_s, now) > SLOW_RATIO:
            _decrease(item, SLOW_FACTOR, max(baseline.smoothed_s, MIN_DECREASE_INTERVAL_S), now)
        elif in_flight >= int(item.limit) and now - item.decreased_at >= HOLD_AFTER_DECREASE_S:
            is_new = item.decreased_at == float("-inf")
            step = FIRST_INCREASE_PER_ROUND if is_new else INCREASE_PER_ROUND
            raised = item.limit + step / item.limit
            item.limit = min(raised, max(FLOOR, item.slots))

    def shed(self, endpoint: str, now: float) -> None:
        """Note that the endpoint refused a request because of its load."""
        item = self._limits.get(endpoint)
        if item:
            if item.limit < FLOOR + 1.0:
                item.rest_until = now + min(
                    max(REST_ROUNDS * item.latency_s, MIN_REST_S), MAX_REST_S
                )
            _decrease(item, SHED_FACTOR, MIN_DECREASE_INTERVAL_S, now)

    def dump(self) -> dict[str, float]:
        """Return the limits for a state dump."""
        return {name: round(item.limit, 2) for name, item in self._limits.items()}


def _decrease(item, factor, interval_s, now):
    if now - item.decreased_at >= interval_s:
        item.limit = max(FLOOR, item.limit * factor)
        item.decreased_at = now
