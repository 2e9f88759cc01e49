"""
oriolelock.routing.load
~~~~~~~~~~~~~~~~~~~~~~~

    Estimates the load of one endpoint as seen by this entry.

    The weight of a report falls with its age and with its disagreement with the latency and
    sheds that this entry observes; the entry's own requests in flight are always exact.
"""

from oriolelock.model import endpoint
from oriolelock.routing import result, service_load

__all__ = ["EndpointLoad"]

REPORT_HALF_LIFE_S = 2.0
SHED_HALF_LIFE_S = 2.0
# The load from other entries changes faster than reports arrive. In the simulation in
# tests/routing/test_pickers.py, using the last report at full weight is worse than using none;
# smoothed and halved, reports still identify endpoints that other entries keep busy.
REPORT_SMOOTHING = 0.1
OTHERS_WEIGHT = 0.5
SLOWNESS_HALF_LIFE_S = 10.0
ERROR_HALF_LIFE_S = 10.0
LATENCY_WEIGHT = 0.2
ERROR_WEIGHT = 0.1
# An endpoint that fails fast has few requests in flight and low latency, so without this penalty
# it would attract all traffic.
ERROR_FACTOR = 10.0
MIN_TRUST = 0.05
TRUST_GAIN = 0.1
DISTRUST_FACTOR = 0.7
# A report is misleading if it shows half of the slots free while latency has doubled, or a long
# queue while latency is below that of other endpoints.
SLOW_RATIO = 2.0
IDLE_SHARE = 0.5
FAST_RATIO = 0.8
QUEUED_SHARE = 1.5


def _decay(value, age_s, half_life_s):
    return value * 0.5 ** (age_s / half_life_s) if age_s > 0 else value


class EndpointLoad:
    """In-flight requests of this entry, reported load, latency and errors of one endpoint.

    ``start`` counts the starts of the endpoint that this entry has noticed.
    """

    def __init__(self, endpoint_cfg: endpoint.Endpoint, averages: service_load.ServiceLoad):
        self.endpoint = endpoint_cfg
        self.averages = averages
        self.in_flight = 0
        self.start = 0
        self._started_at = float("-inf")
        self._reset()

    def _reset(self):
        self.trust = 1.0
        self.reported_at = float("-inf")
        self.state = "serving"
        self._others_in_flight = 0.0
        self._own_in_flight_at_report = 0
        self._smoothed_others_in_flight: float | None = None
        self._reported_occupancy = 0.0
        self._last_shed = (0.0, 0.0)
        self._latency_ratio = (1.0, 0.0)
        self._error_rate = (0.0, 0.0)

    def restart(self, now: float) -> None:
        """Forget what was observed before ``now``, when the endpoint is taken to have ended.

        Requests in flight stay counted: each of them still ends once.
        """
        self.start += 1
        self._started_at = now
        self._reset()

    def apply_report(self, load_report: result.LoadReport, now: float) -> bool:
        """Apply a load report; returns False and ignores it if it is older than the last one.

        So is one from before the endpoint's last known start.
        """
        measured_at = now - max(0.0, load_report.age_s)
        if measured_at < max(self.reported_at, self._started_at):
            return False
        self.reported_at = measured_at
        self.state = load_report.state
        total_requests = max(0, load_report.in_flight) + max(0, load_report.queued)
        self._others_in_flight = float(max(0, total_requests - self.in_flight))
        self._reported_occupancy = total_requests / max(1, self.endpoint.slots)
        self._own_in_flight_at_report = self.in_flight
        if self._smoothed_others_in_flight is None:
            self._smoothed_others_in_flight = self._others_in_flight
        self._smoothed_others_in_flight += REPORT_SMOOTHING * (
            self._others_in_flight - self._smoothed_others_in_flight
        )
        self.averages.observe_others(self._others_in_flight / max(1, self.endpoint.slots))
        return True

    def observe_latency(self, latency_ratio: float, now: float) -> None:
        """Record a complete response that took ``latency_ratio`` times the mean latency."""
        slowness = self.slowness(now)
        slowness += LATENCY_WEIGHT * (latency_ratio - slowness)
        self._latency_ratio = (slowness, now)
        self._update_error_rate(0.0, now)
        idle_but_slow = self._reported_occupancy < IDLE_SHARE and slowness > SLOW_RATIO
        full_but_fast = self._reported_occupancy >= QUEUED_SHARE and slowness < FAST_RATIO
        if idle_but_slow or full_but_fast:
            self.trust = max(MIN_TRUST, self.trust * DISTRUST_FACTOR)
        else:
            self.trust += TRUST_GAIN * (1.0 - self.trust)

    def observe_shed(self, now: float) -> None:
        """Record that the endpoint shed a request."""
        if self._reported_occupancy < 1.0:
            self.trust = max(MIN_TRUST, self.trust * DISTRUST_FACTOR)
        self._last_shed = (1.0, now)

    def observe_error(self, now: float) -> None:
        """Record a failed request."""
        self._update_error_rate(1.0, now)

    def _update_error_rate(self, sample, now):
        rate = _decay(self._error_rate[0], now - self._error_rate[1], ERROR_HALF_LIFE_S)
        self._error_rate = (rate + ERROR_WEIGHT * (sample - rate), now)

    def slowness(self, now: float) -> float:
        """Return smoothed latency relative to other endpoints; decays to 1 without traffic."""
        last_slowness, updated_at = self._latency_ratio
        return 1.0 + _decay(last_slowness - 1.0, now - updated_at, SLOWNESS_HALF_LIFE_S)

    def freshness(self, now: float) -> float:
        """Return the weight of the last report by its age, from 0 to 1."""
        return _decay(1.0, now - self.reported_at, REPORT_HALF_LIFE_S)

    def occupancy(self, now: float) -> float:
        """Estimate the requests at the endpoint, including its queue, as a share of its slots.

        Where the report has less than full weight, the average load from other entries fills in.
        """
        slots = max(1, self.endpoint.slots)
        report_weight = self.freshness(now) * self.trust
        others_share = (
            self._others_in_flight / slots * report_weight
            + self.averages.others_share * (1.0 - report_weight)
        )
        return max(self.in_flight / slots + others_share, self._shed_level(now))

    def allowance(self, now: float, entries: int) -> float:
        """Return how many requests each of ``entries`` remote entries may have in flight here.

        This is the number it had at the last report plus an equal share of the slots free at
        that time. It decays to 0 as the report ages, and drops to 0 when the endpoint sheds.
        """
        free_slots = max(0.0, self.endpoint.slots * (1.0 - self._reported_occupancy))
        requests = self._own_in_flight_at_report + free_slots / max(1, entries)
        return requests * self.freshness(now) * self.trust * (1.0 - self._shed_level(now))

    def score(self, now: float) -> float:
        """Return the expected relative time to serve one more request; lower is better."""
        slots = max(1, self.endpoint.slots)
        report_weight = self.freshness(now) * self.trust
        reported_share = (self._smoothed_others_in_flight or 0.0) / slots
        others_share = reported_share * report_weight + self.averages.others_share * (
            1.0 - report_weight
        )
        occupancy = max((self.in_flight + 1.0) / slots, self._shed_level(now))
        occupancy += OTHERS_WEIGHT * others_share
        error_rate = _decay(self._error_rate[0], now - self._error_rate[1], ERROR_HALF_LIFE_S)
        return occupancy * max(0.1, self.slowness(now)) * (1.0 + ERROR_FACTOR * error_rate)

    def _shed_level(self, now):
        return _decay(self._last_shed[0], now - self._last_shed[1], SHED_HALF_LIFE_S)
