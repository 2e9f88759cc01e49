"""
oriolelock.routing.shift
~~~~~~~~~~~~~~~~~~~~~~~~

    Moves the regions' parts of an entry's traffic towards their target in capped steps.
"""

import collections.abc
import dataclasses

__all__ = ["Limits", "Shift", "target_weights"]

CONTROL_SILENCE_S = 3.0
MIN_SAMPLES = 50


@dataclasses.dataclass(frozen=True)
class Limits:
    """Largest part of traffic that moves per step, in total and towards cold regions."""

    cap: float
    cold_cap: float
    interval_s: float


def target_weights(
    own: str,
    weights: collections.abc.Mapping[str, float],
    capacity: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Return the part of the traffic that arrives in region ``own`` for each region.

    ``capacity``: slots by region, without drained ones. A region absent from ``weights`` has
    weight 1. What the own region does not serve itself goes to the others by weight and
    capacity.
    """
    kept = weights.get(own, 1.0) if capacity.get(own, 0) > 0 else 0.0
    others = {r: weights.get(r, 1.0) * c for r, c in capacity.items() if r != own}
    total = sum(others.values())
    if total <= 0:
        return {own: 1.0}
    parts = {region: (1.0 - kept) * part / total for region, part in others.items()}
    parts[own] = kept
    return parts


class Shift:
    """The applied parts of one service's traffic in this entry."""

    def __init__(self, parts: dict[str, float], now: float):
        self.applied = parts
        self._stepped_at = now
        self._sent: dict[str, int] = {}

    def sent(self, region: str) -> None:
        """Note where a request went that ``sample`` sent to this region or another one."""
        self._sent[region] = self._sent.get(region, 0) + 1

    def sample(self, rng) -> str:
        """Return a region by the applied parts."""
        point = rng.random()
        for region, part in self.applied.items():
            point -= part
            if point < 0:
                return region
        return next(reversed(self.applied))

    def step(
        self,
        target: collections.abc.Mapping[str, float],
        limits: Limits,
        cold: collections.abc.Collection[str],
        measured: collections.abc.Collection[str],
        control_heard_at: float,
        now: float,
    ) -> None:
        """Move by at most one step if the interval has passed.

        A process that was frozen for many intervals makes one step as well. Nothing moves while
        control is silent, nor towards regions that are not measured.
        """
        if now - self._stepped_at < limits.interval_s:
            return
        self._stepped_at = now
        self._follow_traffic(limits.cap)
        if now - control_heard_at > CONTROL_SILENCE_S:
            return
        names = sorted({*target, *self.applied})
        wanted = {r: target.get(r, 0.0) - self.applied.get(r, 0.0) for r in names}
        gains = {r: d for r, d in wanted.items() if d > 0 and r in measured}
        _scale(gains, [r for r in gains if r in cold], limits.cold_cap)
        _scale(gains, list(gains), limits.cap)
        self._move(gains, {r: -d for r, d in wanted.items() if d < 0})

    def _follow_traffic(self, cap):
        """Start from where traffic is when limits kept it from following the parts.

        Otherwise it would move by several steps at once when the limits end.
        """
        total = sum(self._sent.values())
        if total >= MIN_SAMPLES:
            actual = {region: count / total for region, count in self._sent.items()}
            ahead = sum(max(0.0, p - actual.get(r, 0.0)) for r, p in self.applied.items())
            if ahead > cap + total**-0.5:
                self.applied = actual
        self._sent = {}

    def _move(self, gains, losses):
        moved, available = sum(gains.values()), sum(losses.values())
        if moved <= 0 or available <= 0:
            return
        applied = dict(self.applied)
        for region, part in gains.items():
            applied[region] = applied.get(region, 0.0) + part
        for region, part in losses.items():
            applied[region] -= part * moved / available
        self.applied = {r: p for r, p in applied.items() if p > 1e-9}


def _scale(gains, names, cap):
    total = sum(gains[name] for name in names)
    if total > cap:
        for name in names:
            gains[name] *= cap / total
