"""
oriolelock.bench.policy.endpoint_model
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    An endpoint of the policy model: slots, a queue, and the objects that it has at hand.
"""

import collections

from oriolelock.bench.policy import scene as scenes
from oriolelock.dispatch import endpoint_view

__all__ = ["EndpointModel"]

# Requests that wait for a slot, as a multiple of the slots.
QUEUE_FACTOR = 3


class EndpointModel:
    """Times in seconds. ``schedule(at_s, callback, *args)`` calls back in simulated time."""

    def __init__(self, work: scenes.Work, schedule, rng):
        self._work = work
        self._schedule = schedule
        self._rng = rng
        self._running = 0
        self._waiting: collections.deque = collections.deque()
        self._kept: collections.OrderedDict[str, None] = collections.OrderedDict()
        self.runs = 0
        self.warm_runs = 0

    def load(self) -> endpoint_view.Load:
        """Return what it tells of its load."""
        return endpoint_view.Load(self._running, len(self._waiting), self._work.slots)

    def arrive(self, now: float, key: str, until_s: float, done) -> None:
        """Take a request that is of use until ``until_s``; calls ``done(now, was_run)``."""
        if self._running >= self._work.slots:
            if len(self._waiting) >= QUEUE_FACTOR * self._work.slots:
                done(now, False)
            else:
                self._waiting.append((key, until_s, done))
            return
        self._start(now, key, until_s, done)

    def _start(self, now, key, until_s, done):
        is_warm = key in self._kept
        work_s = self._work.mean_s * self._rng.lognormvariate(0.0, 0.15)
        work_s *= 1.0 - self._work.saved * is_warm
        self._kept[key] = None
        self._kept.move_to_end(key)
        while len(self._kept) > self._work.keeps:
            self._kept.popitem(last=False)
        self._running += 1
        self.runs += 1
        self.warm_runs += is_warm
        self._schedule(min(now + work_s, until_s), self._end, now + work_s <= until_s, done)

    def _end(self, now, is_whole, done):
        self._running -= 1
        if is_whole:
            done(now, True)
        while self._waiting and self._running < self._work.slots:
            key, until_s, done = self._waiting.popleft()
            if until_s > now:
                self._start(now, key, until_s, done)
