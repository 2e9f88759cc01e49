"""
oriolelock.dispatch.endpoint_view
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One entry's estimate of an endpoint: load, speed, error rate, cached objects, availability.
"""

import collections
import dataclasses
import enum

from oriolelock.dispatch import contact, reported_symptoms, restarts
from oriolelock.model import endpoint

__all__ = ["EndpointView", "Fact", "Health", "Load", "make_load"]

# Other entries' requests start and end after a load report, so its weight decays.
REPORT_HALF_LIFE_S = 2.0
SLOWNESS_WEIGHT = 0.25
MAX_SLOWNESS = 20.0
# A slow endpoint gets no requests, hence no measurements. The estimate decays so that the endpoint
# is tried again.
SLOWNESS_HALF_LIFE_S = 4.0
ERROR_WEIGHT = 0.15
ERROR_HALF_LIFE_S = 4.0
# An endpoint that shed a request counts as full for this long.
SHED_HOLD_S = 0.15
# Bounds of the estimated size of an endpoint's object cache. Service times tell hits from misses.
MAX_CACHED_OBJECTS = 64.0
MIN_CACHED_OBJECTS = 4.0
CACHE_SIZE_INCREASE = 0.1
CACHE_SIZE_DECREASE_FACTOR = 0.93
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 4.0
# A replaced endpoint backs off as long as possible, until the instance list reports its new state.
REPLACED_FAILURES = 3
# An endpoint with more requests than this many digits can write reports nonsense.
MAX_LOAD_DIGITS = 6
# How long an endpoint is not used that other entries report to be replaced. The instance list shows
# it by then; no entry needs to check by itself.
REPLACED_HOLD_S = 10.0
# How long an endpoint is not used that the instance list shows as leaving, according to a replica.
# The configuration says so by then; else the replica repeats it.
LISTED_HOLD_S = 10.0
# Longest time for which an endpoint may turn requests away; a new start ends it.
MAX_PAUSE_S = 3600.0
# Until the next request to an endpoint that took none, while the first one is under way.
RESUME_WAIT_S = 0.1


class Fact(enum.Enum):
    """What is certain of an endpoint until it starts again; the values are sent to other entries.

    ``LEAVING``: it has said so in a response; ``REPLACED``: another one answers at its address;
    ``LISTED_LEAVING``: the instance list says that it leaves.
    """

    LEAVING = 1
    REPLACED = 2
    LISTED_LEAVING = 3


@dataclasses.dataclass(frozen=True)
class Load:
    """An endpoint's load report: running requests, queued requests, and slots."""

    running: int
    waiting: int
    slots: int


def make_load(running: bytes, waiting: bytes, slots: bytes) -> Load | None:
    """Return the load in three decimal numbers; None if one of them is impossible."""
    if max(len(running), len(waiting), len(slots)) > MAX_LOAD_DIGITS:
        return None
    try:
        load = Load(int(running), int(waiting), int(slots))
    except ValueError:
        return None
    return load if min(load.running, load.waiting, load.slots) >= 0 else None


@dataclasses.dataclass(frozen=True)
class Health:
    """Response to a health check.

    ``endpoint_id``: name of the responding endpoint, may be empty; ``cold_ms``: how much longer it
    stays cold; ``is_leaving``: it ends soon; ``pause_s``: for how long it wants no requests;
    ``tells_cold``: whether ``cold_ms`` 0 means that it is warm.
    """

    is_healthy: bool
    endpoint_id: str = ""
    cold_ms: float = 0.0
    is_leaving: bool = False
    pause_s: float = 0.0
    tells_cold: bool = True


def _decayed(value, age_s, half_life_s):
    return value * 0.5 ** (max(0.0, age_s) / half_life_s)


class EndpointView:
    """Load and availability of one endpoint. Not thread-safe; times are monotonic seconds."""

    def __init__(self, instance: endpoint.Endpoint):
        self.endpoint = instance
        host, _, port = instance.address.partition(":")
        self.address = (host, int(port))
        self.restart_digest = restarts.endpoint_digest(instance)
        self.contact = contact.Contact()
        # Doubt and turn of this entry's latest health check in a doubt.
        self._check_turn: tuple[float, int] | None = None
        self.slots = instance.slots
        # This entry's requests in flight: number to (start, expected end, whether the object is
        # known to be cached).
        self.in_flight: dict[int, tuple[float, float, bool]] = {}
        self._other_requests = 0.0
        self._reported_s = float("-inf")
        self._slowness = 1.0
        self._slowness_s = 0.0
        self._error_rate = 0.0
        self._error_rate_s = 0.0
        self.saturated_until_s = 0.0
        self.cold_until_s = 0.0
        self.ejected_until_s = 0.0
        self.failures = 0
        # Unreachable, unresponsive or replaced: not used until a health check passes.
        self.needs_health_check = False
        self.health_check_pending = False
        self.is_leaving = False
        self._replaced_until_s = 0.0
        self._listed_leaving_until_s = 0.0
        self._paused_until_s = 0.0
        # Requests are sent one by one after a pause, until one of them is answered.
        self._is_resuming = False
        # Created when needed: most endpoints have none.
        self._symptoms: reported_symptoms.ReportedSymptoms | None = None
        # Ejected because no connection could be opened, and not checked since.
        self._is_unreachable = False
        # The endpoint's machine refused a connection.
        self._was_refused = False
        self._cache_size = MAX_CACHED_OBJECTS
        self._cached_objects: collections.OrderedDict[int, float] = collections.OrderedDict()

    def has_object(self, digest: int) -> bool:
        """Return whether the endpoint probably has the object with this digest cached."""
        return digest in self._cached_objects

    def record_object(self, digest: int, now: float) -> None:
        """Record that the endpoint handled the object with this digest."""
        self._cached_objects[digest] = now
        self._cached_objects.move_to_end(digest)
        while len(self._cached_objects) > self._cache_size:
            self._cached_objects.popitem(last=False)

    def record_cache_outcome(self, was_hit: bool) -> None:
        """Adjust the estimated cache size after a predicted hit that was one or was not."""
        if was_hit:
            self._cache_size = min(MAX_CACHED_OBJECTS, self._cache_size + CACHE_SIZE_INCREASE)
        else:
            self._cache_size = max(
                MIN_CACHED_OBJECTS, self._cache_size * CACHE_SIZE_DECREASE_FACTOR
            )

    def clear_objects(self) -> None:
        """Empty the estimate of cached objects, for example after a restart."""
        self._cached_objects.clear()

    def is_cold(self, now: float) -> bool:
        """Return whether the endpoint started recently and tolerates only few requests."""
        return self.endpoint.cold or now < self.cold_until_s

    def record_cold(self, cold_s: float, now: float) -> None:
        """Record that the endpoint has started and stays cold for ``cold_s`` seconds."""
        if cold_s > 0.0:
            self.cold_until_s = max(self.cold_until_s, now + cold_s)
            self.clear_objects()

    def record_words(self, health: Health, now: float) -> None:
        """Record what the endpoint says of leaving and of requests that it does not want."""
        if health.is_leaving:
            self.record_fact(Fact.LEAVING, now)
        if health.pause_s > 0.0:
            self.record_pause(health.pause_s, now)

    def end_check(self) -> None:
        """Record the end of a health check that has no effect."""
        self.health_check_pending = False

    def take_check_turn(self, doubt_s: float, turn: int) -> bool:
        """Return whether a turn to check the endpoint is unused, and use it.

        ``doubt_s``: when this entry learned of the doubt.
        """
        # The time is a difference of two times, and not exact.
        is_new = self._check_turn != (round(doubt_s, 3), turn)
        self._check_turn = (round(doubt_s, 3), turn)
        return is_new

    def is_staying(self, now: float) -> bool:
        """Return whether nothing says that the endpoint leaves."""
        return (
            self.endpoint.state == "live"
            and not self.is_leaving
            and now >= self._listed_leaving_until_s
        )

    def is_usable(self, now: float) -> bool:
        """Return whether the endpoint may receive requests."""
        return (
            self.is_staying(now)
            and not self.needs_health_check
            and now >= self.ejected_until_s
            and now >= self._replaced_until_s
        )

    def record_pause(self, duration_s: float, now: float) -> None:
        """Record that the endpoint wants no requests of this entry for ``duration_s`` seconds."""
        until_s = now + min(MAX_PAUSE_S, duration_s)
        self._paused_until_s = max(self._paused_until_s, until_s)
        self._is_resuming = True

    def pause_s(self, now: float) -> float:
        """Return seconds until the endpoint takes the next request of this entry."""
        if now < self._paused_until_s:
            return self._paused_until_s - now
        return RESUME_WAIT_S if self._is_resuming and self.in_flight else 0.0

    def is_paused(self, now: float) -> bool:
        """Return whether the endpoint wants no requests of this entry now."""
        return now < self._paused_until_s

    def record_fact(self, fact: Fact, now: float) -> bool:
        """Record a fact; returns False if it was known."""
        match fact:
            case Fact.LEAVING:
                is_new, self.is_leaving = not self.is_leaving, True
            case Fact.REPLACED:
                is_new = now >= max(self._replaced_until_s, self.ejected_until_s)
                self._replaced_until_s = now + REPLACED_HOLD_S
            case Fact.LISTED_LEAVING:
                # New again after half of the hold, so that all entries extend it.
                is_extended = now >= self._listed_leaving_until_s - LISTED_HOLD_S / 2
                is_new = is_extended and self.endpoint.state == "live"
                if is_extended:
                    self._listed_leaving_until_s = now + LISTED_HOLD_S
        return is_new

    def _reported(self):
        if self._symptoms is None:
            self._symptoms = reported_symptoms.ReportedSymptoms()
        return self._symptoms

    def record_reported_unreachable(self, domain_digest: int, now: float) -> None:
        """Record that an entry of another failure domain can't connect to the endpoint."""
        self._reported().record_unreachable(domain_digest, now)

    def record_reported_slowness(self, domain_digest: int, ratio: float, now: float) -> None:
        """Record that an entry finds the endpoint slower than expected, ``ratio`` times."""
        self._reported().record_slowness(domain_digest, ratio, now)

    def is_reported_unreachable(self, now: float) -> bool:
        """Return whether entries of several failure domains can't connect to the endpoint."""
        return self._symptoms is not None and self._symptoms.is_unreachable(now)

    def reported(self, load: Load, now: float) -> None:
        """Record a load report that came with a response."""
        if load.slots > 0:
            self.slots = load.slots
        if self._symptoms is not None:
            self._symptoms.record_contact()
        self._other_requests = max(0.0, load.running + load.waiting - len(self.in_flight))
        self._reported_s = now

    def occupancy(self, now: float) -> float:
        """Return the estimated number of running and queued requests from all entries."""
        others = _decayed(self._other_requests, now - self._reported_s, REPORT_HALF_LIFE_S)
        return len(self.in_flight) + others

    def expected_wait_s(self, service_s: float, now: float) -> float:
        """Return the estimated queueing delay of one more request, in seconds."""
        slots = max(1, self.slots)
        excess = self.occupancy(now) + 1.0 - slots
        if now < self.saturated_until_s:
            excess = max(excess, 2.0 * slots)
        return max(0.0, excess) / slots * service_s * self.slowness(now)

    def slowness(self, now: float) -> float:
        """Return the ratio of observed to expected response time; at least 1."""
        decayed = 1.0 + _decayed(self._slowness - 1.0, now - self._slowness_s, SLOWNESS_HALF_LIFE_S)
        if self._symptoms is not None:
            decayed = max(decayed, self._symptoms.slowness(now))
        if not self.in_flight:
            return decayed
        start_s, end_s, _ = next(iter(self.in_flight.values()))
        # An overdue request counts before it ends.
        overdue = (now - start_s) / max(0.05, end_s - start_s)
        return min(MAX_SLOWNESS, max(decayed, overdue if overdue > 1.5 else 1.0))

    def overdue_ratio(self, now: float, min_age_s: float) -> float:
        """Return elapsed by expected time of the oldest request for a cached object, 0 for none.

        Requests younger than ``min_age_s`` don't count.
        """
        for start_s, end_s, is_known in self.in_flight.values():
            if is_known:
                age_s = now - start_s
                return age_s / max(0.05, end_s - start_s) if age_s >= min_age_s else 0.0
        return 0.0

    def error_rate(self, now: float) -> float:
        """Return the recent share of responses that were errors, from 0 to 1."""
        return _decayed(self._error_rate, now - self._error_rate_s, ERROR_HALF_LIFE_S)

    def record_start(
        self, number: int, expected_s: float, now: float, is_cached: bool = False
    ) -> None:
        """Record a request that is sent to the endpoint, which is known to have its object."""
        self.in_flight[number] = (now, now + expected_s, is_cached)

    def ended(self, number: int) -> float | None:
        """Record the end of a request. Returns its start, or None for an unknown number."""
        times = self.in_flight.pop(number, None)
        return times[0] if times else None

    def answered(self, ratio: float, is_error: bool, now: float) -> None:
        """Record a response; ``ratio``: elapsed time divided by expected time."""
        self._error_rate = self.error_rate(now) * (1 - ERROR_WEIGHT) + ERROR_WEIGHT * is_error
        self._error_rate_s = now
        if not is_error:
            self._is_resuming = False
            old = 1.0 + _decayed(self._slowness - 1.0, now - self._slowness_s, SLOWNESS_HALF_LIFE_S)
            new = min(MAX_SLOWNESS, max(1.0, ratio))
            self._slowness = old + SLOWNESS_WEIGHT * (new - old)
            self._slowness_s = now
            self.failures = 0

    def shed(self, now: float) -> None:
        """Record that the endpoint refused a request because of its load."""
        self.saturated_until_s = now + SHED_HOLD_S

    def record_failure(self, now: float) -> None:
        """Eject the endpoint after a failure, with exponential backoff until a health check."""
        self.failures += 1
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (self.failures - 1))
        self.ejected_until_s = now + backoff_s
        self.needs_health_check = True

    def record_unreachable(self, now: float, was_refused: bool = False) -> None:
        """Eject the endpoint, to which no connection could be opened."""
        self.record_failure(now)
        self._is_unreachable = True
        self._was_refused = was_refused

    def withdraw_refusal(self) -> None:
        """Use the endpoint again that had refused a connection: it has started."""
        if self._was_refused:
            self._was_refused = self._is_unreachable = self.needs_health_check = False
            self.failures = 0
            self.ejected_until_s = 0.0

    def withdraw_unreachable(self) -> None:
        """Undo ``record_unreachable``: the entry is cut off, and the endpoint not to blame."""
        if self._is_unreachable:
            self._is_unreachable = self.needs_health_check = False
            self._was_refused = False
            self.failures -= 1
            self.ejected_until_s = 0.0

    def postpone_health_check(self, now: float) -> None:
        """Record that a health check did not reach the endpoint for a fault of this entry."""
        self.health_check_pending = False
        self.ejected_until_s = now + BACKOFF_MIN_S if self.needs_health_check else 0.0

    def record_replacement(self, now: float) -> None:
        """Eject the endpoint with the longest backoff: another one answers at its address."""
        self.failures = max(self.failures, REPLACED_FAILURES)
        self.record_failure(now)

    def record_disconnect(self, now: float) -> None:
        """Record a connection closed without a response; other connections may still work."""
        self._error_rate = self.error_rate(now) * (1 - ERROR_WEIGHT) + ERROR_WEIGHT
        self._error_rate_s = now

    def record_health_check(
        self, health: Health | None, cold_s: float, now: float, was_refused: bool = False
    ) -> None:
        """Apply the result of a health check; None: no response.

        ``cold_s``: the service's cold period after a start, the upper bound of ``cold_ms``;
        ``was_refused``: whether nothing listened at the address.
        """
        self.health_check_pending = self._is_unreachable = False
        self._was_refused = was_refused
        if health is not None and health.endpoint_id in ("", self.endpoint.name):
            self.record_words(health, now)
        if health is None or not health.is_healthy:
            self.record_failure(now)
            return
        if health.endpoint_id and health.endpoint_id != self.endpoint.name:
            # Another endpoint took over the address; the instance list will report the change.
            self.record_replacement(now)
            return
        self.needs_health_check = False
        self.ejected_until_s = 0.0
        self.record_cold(min(health.cold_ms / 1000.0, cold_s), now)
