"""
oriolelock.bench.policy.outcome
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What the callers of a simulated scene got, and how traffic moved between regions.
"""

import collections

from oriolelock.bench.policy import scene as scenes

__all__ = ["Outcome"]

WINDOW_S = 2.0


class Outcome:
    """Counts by place, kind of request and window."""

    def __init__(self, scene: scenes.Scene):
        self._scene = scene
        self._owed: collections.Counter = collections.Counter()
        self._earned: collections.Counter = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self._runs: collections.defaultdict = collections.defaultdict(collections.Counter)

    def owed(self, place, work, now: float) -> None:
        """Count a request that a caller made."""
        self.counts["requests"] += 1
        for key in ("", place.name, work.name, int(now / WINDOW_S)):
            self._owed[key] += work.worth

    def answered(self, place, work, began_s: float, elapsed_s: float) -> None:
        """Count an answer that reached its caller after ``elapsed_s``."""
        in_time = elapsed_s <= work.objective_s
        self.counts["in time" if in_time else "late"] += 1
        for key in ("", place.name, work.name, int(began_s / WINDOW_S)):
            self._earned[key] += work.worth if in_time else work.late

    def windows(self) -> list[float]:
        """Return the share of the requests that began in each window of 2 s."""
        return [self.share(at) for at in range(round(self._scene.duration_s / WINDOW_S))]

    def failed(self, place, work, reason: str) -> None:
        """Count an attempt that ended without an answer."""
        self.counts[reason] += 1

    def sent(self, place, item, now: float) -> None:
        """Count a request that was sent to endpoint ``item``."""
        self.counts["away" if item.region != place.region else "near"] += 1
        self._runs[(place.region, int(now / WINDOW_S))][item.region] += 1

    def share(self, key: str | int = "") -> float:
        """Return benefit earned by benefit owed, of all, a place, a kind of request, a window."""
        return self._earned[key] / self._owed[key] if self._owed[key] else 1.0

    def worst_place(self) -> float:
        """Return the share of the failure domain that got least."""
        return min(self.share(place.name) for place in self._scene.places)

    def worst_work(self) -> float:
        """Return the share of the kind of request that got least."""
        return min(self.share(work.name) for work in self._scene.works)

    def largest_shift(self) -> float:
        """Return the largest part of a region's requests that changed its region between two
        windows of 2 s."""
        largest = 0.0
        for (region, window), runs in self._runs.items():
            later = self._runs.get((region, window + 1))
            if not later or (window + 2) * WINDOW_S > self._scene.duration_s:
                continue
            before, after = sum(runs.values()), sum(later.values())
            moved = sum(abs(later[name] / after - runs[name] / before) for name in {*runs, *later})
            largest = max(largest, moved / 2.0)
        return largest
