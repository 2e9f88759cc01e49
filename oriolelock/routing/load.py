"""
oriolelock.routing.load
~~~~~~~~~~~~~~~~~~~~~~~

    What this entry knows about the load of one endpoint.

    Reports count less the older they are and the more they disagree with what the entry sees
    itself; the entry's own requests in flight are always exact.
"""

from oriolelock.model import endpoint
from oriolelock.routing import result, service_load

__all__ = ["EndpointLoad"]

REPORT_HALF_LIFE_S = 2.0
SHED_HALF_LIFE_S = 2.0
# The load that others cause changes faster than reports arrive. In the model of
# tests/routing/test_pickers.py, full weight on the last report is worse than no report at all;
# smoothed and halved, it still tells of endpoints that others keep busy.
REPORT_SMOOTHING = 0.1
REPORT_WEIGHT = 0.5
SLOWNESS_HALF_LIFE_S = 10.0
ERROR_HALF_LIFE_S = 10.0
LATENCY_WEIGHT = 0.2
ERROR_WEIGHT = 0.1
# An endpoint that fails at once has few requests in flight and low latency; without this factor
# it would attract all traffic.
ERROR_FACTOR = 10.0
MIN_TRUST = 0.05
TRUST_GAIN = 0.1
DISTRUST_FACTOR = 0.7
# A report is misleading when it shows half of the slots free while latency has doubled, or a long
# queue while latency is below that of others.
SLOW_RATIO = 2.0
IDLE_SHARE = 0.5
FAST_RATIO = 0.8
QUEUED_SHARE = 1.5


def _faded(value, age_s, half_life_s):
    return value * 0.5 ** (age_s / half_life_s) if age_s > 0 else value


class EndpointLoad:
    """Own requests in flight, reported load, latency and errors of one endpoint."""

    def __init__(self, item: endpoint.Endpoint, shared: service_load.ServiceLoad):
        self.endpoint = item
        self.shared = shared
        self.in_flight = 0
        self.trust = 1.0
        self.reported_at = float("-inf")
        self.state = "serving"
        self._others = 0.0
        self._own_at_report = 0
        self._usual_others: float | None = None
        self._reported_share = 0.0
        self._shed = (0.0, 0.0)
        self._slowness = (1.0, 0.0)
        self._errors = (0.0, 0.0)

    def report(self, news: result.LoadReport, now: float) -> bool:
        """Take a load report; returns False for one older than the last, which is ignored."""
        at = now - max(0.0, news.age_s)
        if at < self.reported_at:
            return False
        self.reported_at = at
        self.state = news.state
        total = max(0, news.in_flight) + max(0, news.queued)
        self._others = float(max(0, total - self.in_flight))
        self._reported_share = total / max(1, self.endpoint.slots)
        self._own_at_report = self.in_flight
        if self._usual_others is None:
            self._usual_others = self._others
        self._usual_others += REPORT_SMOOTHING * (self._others - self._usual_others)
        self.shared.observe_others(self._others / max(1, self.endpoint.slots))
        return True

    def observe_latency(self, ratio: float, now: float) -> None:
        """Note a complete response that took ``ratio`` times the operation's mean."""
        slowness = self.slowness(now)
        slowness += LATENCY_WEIGHT * (ratio - slowness)
        self._slowness = (slowness, now)
        self._note_errors(0.0, now)
        idle_but_slow = self._reported_share < IDLE_SHARE and slowness > SLOW_RATIO
        full_but_fast = self._reported_share >= QUEUED_SHARE and slowness < FAST_RATIO
        if idle_but_slow or full_but_fast:
            self.trust = max(MIN_TRUST, self.trust * DISTRUST_FACTOR)
        else:
            self.trust += TRUST_GAIN * (1.0 - self.trust)

    def observe_shed(self, now: float) -> None:
        """Note that the endpoint refused a request because of its load."""
        if self._reported_share < 1.0:
            self.trust = max(MIN_TRUST, self.trust * DISTRUST_FACTOR)
        self._shed = (1.0, now)

    def observe_error(self, now: float) -> None:
        """Note a failure."""
        self._note_errors(1.0, now)

    def _note_errors(self, value, now):
        rate = _faded(self._errors[0], now - self._errors[1], ERROR_HALF_LIFE_S)
        self._errors = (rate + ERROR_WEIGHT * (value - rate), now)

    def slowness(self, now: float) -> float:
        """Return smoothed latency relative to other endpoints; fades to 1 without traffic."""
        value, at = self._slowness
        return 1.0 + _faded(value - 1.0, now - at, SLOWNESS_HALF_LIFE_S)

    def freshness(self, now: float) -> float:
        """Return how much the last report counts: 0 to 1."""
        return _faded(1.0, now - self.reported_at, REPORT_HALF_LIFE_S)

    def occupancy(self, now: float) -> float:
        """Estimate the requests at the endpoint, including its queue, as a share of its slots.

        For the part that the report does not vouch for, others use as much as on average.
        """
        slots = max(1, self.endpoint.slots)
        weight = self.freshness(now) * self.trust
        others = self._others / slots * weight + self.shared.others_share * (1.0 - weight)
        return max(self.in_flight / slots + others, self._shed_level(now))

    def allowance(self, now: float, entries: int) -> float:
        """Return how many requests one of ``entries`` entries in other regions may have here.

        Those it had at the last report, and its part of what was free then. Fades to 0 with
        the age of the report, and at once when the endpoint sheds.
        """
        free = max(0.0, self.endpoint.slots * (1.0 - self._reported_share))
        share = self._own_at_report + free / max(1, entries)
        return share * self.freshness(now) * self.trust * (1.0 - self._shed_level(now))

    def score(self, now: float) -> float:
        """Return the expected relative time to serve one more request; lower is better."""
        slots = max(1, self.endpoint.slots)
        weight = self.freshness(now) * self.trust
        reported = (self._usual_others or 0.0) / slots
        others = reported * weight + self.shared.others_share * (1.0 - weight)
        occupancy = max((self.in_flight + 1.0) / slots, self._shed_level(now))
        occupancy += REPORT_WEIGHT * others
        errors = _faded(self._errors[0], now - self._errors[1], ERROR_HALF_LIFE_S)
        return occupancy * max(0.1, self.slowness(now)) * (1.0 + ERROR_FACTOR * errors)

    def _shed_level(self, now):
        return _faded(self._shed[0], now - self._shed[1], SHED_HALF_LIFE_S)
