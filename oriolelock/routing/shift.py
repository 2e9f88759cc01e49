"""
oriolelock.routing.shift
~~~~~~~~~~~~~~~~~~~~~~~~

    Moves the regional shares of an entry's traffic towards their targets in capped steps.
"""

import collections.abc
import dataclasses

__all__ = ["Limits", "Shift", "target_weights"]

CONTROL_TIMEOUT_S = 3.0
MIN_SAMPLES = 50


@dataclasses.dataclass(frozen=True)
class Limits:
    """Largest share of traffic moved per step, in total (``cap``) and to cold regions."""

    cap: float
    cold_cap: float
    interval_s: float


def target_weights(
    own_region: str,
    weights: collections.abc.Mapping[str, float],
    capacity: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Return the share of the traffic arriving in ``own_region`` that each region serves.

    ``capacity``: slots by region, without drained endpoints. A region absent from ``weights``
    has weight 1. Traffic that the own region does not serve is divided among the others in
    proportion to weight times capacity.
    """
    own_share = weights.get(own_region, 1.0) if capacity.get(own_region, 0) > 0 else 0.0
    others = {r: weights.get(r, 1.0) * c for r, c in capacity.items() if r != own_region}
    total = sum(others.values())
    if total <= 0:
        return {own_region: 1.0}
    shares = {region: (1.0 - own_share) * weight / total for region, weight in others.items()}
    shares[own_region] = own_share
    return shares


class Shift:
    """Traffic shares by region that this entry applies to one service."""

    def __init__(self, shares: dict[str, float], now: float):
        self.applied = shares
        self._stepped_at = now
        self._sent_counts: dict[str, int] = {}

    def record_sent(self, region: str) -> None:
        """Count a request sent to ``region``."""
        self._sent_counts[region] = self._sent_counts.get(region, 0) + 1

    def sample(self, rng) -> str:
        """Return a random region, weighted by the applied shares."""
        remaining = rng.random()
        for region, share in self.applied.items():
            remaining -= share
            if remaining < 0:
                return region
        return next(reversed(self.applied))

    def step(
        self,
        target: collections.abc.Mapping[str, float],
        limits: Limits,
        cold: collections.abc.Collection[str],
        measured: collections.abc.Collection[str],
        control_contact_at: float,
        now: float,
    ) -> None:
        """Move the shares by one step if the interval has passed.

        A process that was suspended for many intervals makes only one step. Nothing moves while
        control cannot be reached, nor towards regions without recent load reports
        (``measured`` lists those with reports). Times are in seconds.
        """
        if now - self._stepped_at < limits.interval_s:
            return
        self._stepped_at = now
        self._sync_to_traffic(limits.cap)
        if now - control_contact_at > CONTROL_TIMEOUT_S:
            return
        regions = sorted({*target, *self.applied})
        changes = {
            region: target.get(region, 0.0) - self.applied.get(region, 0.0) for region in regions
        }
        gains = {
            region: change
            for region, change in changes.items()
            if change > 0 and region in measured
        }
        _scale_to_cap(gains, [region for region in gains if region in cold], limits.cold_cap)
        _scale_to_cap(gains, list(gains), limits.cap)
        self._move(gains, {region: -change for region, change in changes.items() if change < 0})

    def _sync_to_traffic(self, cap):
        """Reset the shares to the actual traffic if limits kept it from following them.

        Otherwise traffic would move by several steps at once when the limits are lifted.
        """
        total = sum(self._sent_counts.values())
        if total >= MIN_SAMPLES:
            actual = {region: count / total for region, count in self._sent_counts.items()}
            lag = sum(
                max(0.0, share - actual.get(region, 0.0)) for region, share in self.applied.items()
            )
            if lag > cap + total**-0.5:
                self.applied = actual
        self._sent_counts = {}

    def _move(self, gains, losses):
        moved, available = sum(gains.values()), sum(losses.values())
        if moved <= 0 or available <= 0:
            return
        applied = dict(self.applied)
        for region, share in gains.items():
            applied[region] = applied.get(region, 0.0) + share
        for region, share in losses.items():
            applied[region] -= share * moved / available
        self.applied = {region: share for region, share in applied.items() if share > 1e-9}


def _scale_to_cap(gains, regions, cap):
    total = sum(gains[region] for region in regions)
    if total > cap:
        for region in regions:
            gains[region] *= cap / total
