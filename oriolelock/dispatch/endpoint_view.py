"""
oriolelock.dispatch.endpoint_view
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What this entry believes of one endpoint: load, speed, errors, objects at hand, availability.
"""

import collections
import dataclasses

from oriolelock.model import endpoint

__all__ = ["EndpointView", "Health", "Load"]

# Requests of other entries come and go; a report counts half after this time.
REPORT_HALF_LIFE_S = 2.0
SLOWNESS_WEIGHT = 0.25
MAX_SLOWNESS = 20.0
# A slow endpoint gets no work and so no measurement; the belief fades to be tried again.
SLOWNESS_HALF_LIFE_S = 4.0
ERROR_WEIGHT = 0.15
ERROR_HALF_LIFE_S = 4.0
# After a shed the endpoint counts as full for this long.
SHED_S = 0.15
# Objects that an endpoint probably keeps: how many is learned from how long requests take.
MAX_OBJECTS = 64.0
MIN_OBJECTS = 4.0
KEEP_GROWTH = 0.1
KEEP_FACTOR = 0.93
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 4.0
# The instance list will say what became of a replaced endpoint; until then the longest backoff.
FAILURES_OF_REPLACED = 3


@dataclasses.dataclass(frozen=True)
class Load:
    """What an endpoint reports: requests that run and wait, and its slots."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class Health:
    """The answer to a health check; ``instance`` may be empty, ``cold_ms`` how long it stays
    cold."""

    good: bool
    instance: str = ""
    cold_ms: float = 0.0


def _faded(value, age_s, half_life_s):
    return value * 0.5 ** (max(0.0, age_s) / half_life_s)


class EndpointView:
    """Not thread-safe. Times are monotonic seconds."""

    def __init__(self, item: endpoint.Endpoint):
        self.endpoint = item
        host, _, port = item.address.partition(":")
        self.address = (host, int(port))
        self.slots = item.slots
        # Own requests under way: id to (start, expected end).
        self.under_way: dict[int, tuple[float, float]] = {}
        self._others = 0.0
        self._reported_s = float("-inf")
        self._slowness = 1.0
        self._slow_s = 0.0
        self._errors = 0.0
        self._error_s = 0.0
        self.full_until_s = 0.0
        self.cold_until_s = 0.0
        self.out_until_s = 0.0
        self.failures = 0
        # Gone from its address, or silent: not used before a health check passes.
        self.needs_check = False
        self.checking = False
        self._keeps = MAX_OBJECTS
        self._objects: collections.OrderedDict[int, float] = collections.OrderedDict()

    def has_object(self, key: int) -> bool:
        """Return whether it has probably the object with this digest at hand."""
        return key in self._objects

    def handled(self, key: int, now: float) -> None:
        """Note that it has handled an object."""
        self._objects[key] = now
        self._objects.move_to_end(key)
        while len(self._objects) > self._keeps:
            self._objects.popitem(last=False)

    def found(self, was_there: bool) -> None:
        """Note whether an object that was expected at hand seems to have been there."""
        if was_there:
            self._keeps = min(MAX_OBJECTS, self._keeps + KEEP_GROWTH)
        else:
            self._keeps = max(MIN_OBJECTS, self._keeps * KEEP_FACTOR)

    def forget_objects(self) -> None:
        """It has started again and holds nothing."""
        self._objects.clear()

    def is_cold(self, now: float) -> bool:
        """Return whether it tolerates only few requests yet."""
        return self.endpoint.cold or now < self.cold_until_s

    def is_usable(self, now: float) -> bool:
        """Return whether it may get a request at all."""
        return self.endpoint.state == "live" and not self.needs_check and now >= self.out_until_s

    def reported(self, load: Load, now: float) -> None:
        """Take a load report that came with an answer."""
        if load.slots > 0:
            self.slots = load.slots
        self._others = max(0.0, load.running + load.waiting - len(self.under_way))
        self._reported_s = now

    def occupancy(self, now: float) -> float:
        """Return how many requests it probably has, of all entries."""
        others = _faded(self._others, now - self._reported_s, REPORT_HALF_LIFE_S)
        return len(self.under_way) + others

    def wait_s(self, service_s: float, now: float) -> float:
        """Return how long one more request probably waits for a slot."""
        slots = max(1, self.slots)
        ahead = self.occupancy(now) + 1.0 - slots
        if now < self.full_until_s:
            ahead = max(ahead, 2.0 * slots)
        return max(0.0, ahead) / slots * service_s * self.slowness(now)

    def slowness(self, now: float) -> float:
        """Return how much longer it takes than others; at least 1."""
        known = 1.0 + _faded(self._slowness - 1.0, now - self._slow_s, SLOWNESS_HALF_LIFE_S)
        if not self.under_way:
            return known
        start_s, end_s = next(iter(self.under_way.values()))
        # The oldest request tells before it ends.
        overdue = (now - start_s) / max(0.05, end_s - start_s)
        return min(MAX_SLOWNESS, max(known, overdue if overdue > 1.5 else 1.0))

    def error_part(self, now: float) -> float:
        """Return the part of its answers that were errors lately."""
        return _faded(self._errors, now - self._error_s, ERROR_HALF_LIFE_S)

    def started(self, number: int, expected_s: float, now: float) -> None:
        """Note a request that is sent to it."""
        self.under_way[number] = (now, now + expected_s)

    def ended(self, number: int) -> float | None:
        """Note the end of a request; returns its start."""
        item = self.under_way.pop(number, None)
        return item[0] if item else None

    def answered(self, ratio: float, is_error: bool, now: float) -> None:
        """Take an answer; ``ratio``: time taken to time expected."""
        self._errors = self.error_part(now) * (1 - ERROR_WEIGHT) + ERROR_WEIGHT * is_error
        self._error_s = now
        if not is_error:
            old = 1.0 + _faded(self._slowness - 1.0, now - self._slow_s, SLOWNESS_HALF_LIFE_S)
            new = min(MAX_SLOWNESS, max(1.0, ratio))
            self._slowness = old + SLOWNESS_WEIGHT * (new - old)
            self._slow_s = now
            self.failures = 0

    def shed(self, now: float) -> None:
        """Note that it refused a request because of its load."""
        self.full_until_s = now + SHED_S

    def failed(self, now: float) -> None:
        """Note that it could not be reached, or broke off; it rests and is then checked."""
        self.failures += 1
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** (self.failures - 1))
        self.out_until_s = now + backoff_s
        self.needs_check = True

    def replaced(self, now: float) -> None:
        """Note that another endpoint has its address; it rests longer than after one failure."""
        self.failures = max(self.failures, FAILURES_OF_REPLACED)
        self.failed(now)

    def broke_off(self, now: float) -> None:
        """Note that it ended a connection without an answer; others may still work."""
        self._errors = self.error_part(now) * (1 - ERROR_WEIGHT) + ERROR_WEIGHT
        self._error_s = now

    def checked(self, health: Health | None, cold_s: float, now: float) -> None:
        """Take the result of a health check; None: no answer.

        ``cold_s``: how long an endpoint of the service is cold after its start.
        """
        self.checking = False
        if health is None or not health.good:
            self.failed(now)
            return
        if health.instance and health.instance != self.endpoint.name:
            # Another endpoint has its address; the instance list will say what became of it.
            self.replaced(now)
            return
        self.needs_check = False
        self.out_until_s = 0.0
        if health.cold_ms > 0:
            self.cold_until_s = max(self.cold_until_s, now + min(health.cold_ms / 1000.0, cold_s))
            self.forget_objects()
