"""
oriolelock.dispatch.region_split
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Divides an entry's requests to one service among regions, stably by object.

    Each region owns an interval of hash positions; a request goes to the region whose interval
    contains the position of its object. The usual intervals follow from slots and entry counts. An
    object that moves costs a slow first run, so that intervals leave them only for regions that
    are clearly faster, and return afterwards; traffic that swings must not move objects with each
    swing. All changes have a bounded rate, which keeps the fleet's shifts between regions under
    their cap without coordination.
"""

import collections.abc

__all__ = ["RegionSplit", "usual_shares"]

# Time constant of the average of the requests' preferred regions.
PREFERENCE_AVERAGING_S = 1.5
# Distance between position and interval that one request of credit outweighs.
CREDIT_WEIGHT = 0.03
# Requests by which a region may be ahead of or behind its share.
MAX_CREDIT = 3.0


def usual_shares(
    own: str,
    slots: collections.abc.Mapping[str, float],
    entries: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Return the share of region ``own``'s requests for each region at the usual load.

    ``slots``: the service's slots by region; ``entries``: entry counts by region, an estimate of
    the requests that arrive there. A region keeps the requests that it has slots for; the rest
    goes to regions with spare slots. Regions without entries get nothing.
    """
    slots = {name: count for name, count in slots.items() if entries.get(name)}
    total, arriving = sum(slots.values()), sum(entries.values())
    if not total or not arriving or own not in entries:
        return {own: 1.0}
    demand = {name: count / arriving for name, count in sorted(entries.items())}
    capacity = {name: slots.get(name, 0.0) / total for name in demand}
    if demand[own] <= capacity[own]:
        return {own: 1.0}
    overflow = 1.0 - capacity[own] / demand[own]
    spare = {name: max(0.0, capacity[name] - demand[name]) for name in demand}
    shares = {
        name: overflow * share / sum(spare.values()) for name, share in spare.items() if share
    }
    return {own: 1.0 - overflow, **shares}


class RegionSplit:
    """``own``: the entry's region, which owns the first interval; ``speed``: the largest change
    of the shares per second."""

    def __init__(self, own: str, shares: dict[str, float], speed: float):
        self._own = own
        self._speed = speed
        self._updated_s: float | None = None
        self._usual = dict(shares)
        self.shares = dict(shares)
        self._target_shares = dict(shares)
        self._credit = dict.fromkeys(shares, 0.0)

    def use_usual(self, shares: dict[str, float]) -> None:
        """Replace the shares at the usual load, as endpoints or entries have changed."""
        self._usual = dict(shares)

    def usual_region(self, position: float) -> str:
        """Return the region of an object at the usual load; ``position`` as for ``order``."""
        return max(self._distances(self._usual, position).items(), key=lambda item: item[1])[0]

    def record_preference(self, region: str, now: float) -> None:
        """Record the region that is best for the next request."""
        if self._updated_s is None:
            self._updated_s = now
        elapsed_s = min(PREFERENCE_AVERAGING_S, max(0.0, now - self._updated_s))
        self._updated_s = now
        for name in (region, self._own):
            if name not in self.shares:
                self.shares[name] = self._target_shares[name] = self._credit[name] = 0.0
        # The weight grows with the elapsed time, so that the average covers the same period at any
        # request rate.
        weight = max(elapsed_s / PREFERENCE_AVERAGING_S, 0.02)
        for name, average in self._target_shares.items():
            self._target_shares[name] = average + ((name == region) - average) * weight
        self._approach_targets(self._speed * elapsed_s)

    def _approach_targets(self, max_step):
        """Move the shares towards the averaged preferences, by at most ``max_step`` in total."""
        gaps = {name: self._target_shares[name] - share for name, share in self.shares.items()}
        distance = sum(max(0.0, gap) for gap in gaps.values())
        if distance <= 0.0:
            return
        fraction = min(1.0, max_step / distance)
        for name, gap in gaps.items():
            self.shares[name] += fraction * gap

    def order(self, position: float) -> list[str]:
        """Return the regions for a request in order of preference.

        ``position``: hash position of the request's object, from 0 to 1.
        """
        scores = self._distances(self.shares, position)
        for name in scores:
            scores[name] += CREDIT_WEIGHT * self._credit.get(name, 0.0)
        return sorted(scores, key=scores.get, reverse=True)

    def _distances(self, shares, position):
        """Return the distance of a position from each region's interval, negated."""
        found, start = {}, 0.0
        for name in (self._own, *sorted(name for name in shares if name != self._own)):
            end = start + shares.get(name, 0.0)
            found[name] = -max(0.0, start - position, position - end)
            start = end
        return found

    def record_sent(self, region: str) -> None:
        """Update the credits after a request was sent to ``region``."""
        for name, share in self.shares.items():
            credit = self._credit[name] + share - (name == region)
            self._credit[name] = min(MAX_CREDIT, max(-MAX_CREDIT, credit))
