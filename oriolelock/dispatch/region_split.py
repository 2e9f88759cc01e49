"""
oriolelock.dispatch.region_split
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Divides one service's requests of an entry among regions, stable by object.

    Each region has an interval of positions; a request runs in the region whose interval holds
    the position of its object. The intervals begin as capacity and entries suggest and follow
    what would be best at a bounded speed, which keeps the fleet's shifts between regions under
    their cap without a common plan.
"""

import collections.abc

__all__ = ["RegionSplit", "starting_shares"]

# Over this time the wishes of single requests are averaged.
WISH_TIME_S = 1.5
# A request that a region is owed outweighs this distance between position and interval.
CREDIT_WEIGHT = 0.1
# Requests that a region may run ahead or behind of its share.
MAX_CREDIT = 3.0


def starting_shares(
    own: str,
    slots: collections.abc.Mapping[str, float],
    entries: collections.abc.Mapping[str, float],
) -> dict[str, float]:
    """Return the part of requests of region ``own`` for each region before any was sent.

    ``slots``: of the service by region; ``entries``: by region, as a measure of the requests
    that arrive there. A region keeps what it has slots for; the rest goes where slots are left.
    Regions without entries are a reserve that is not used before loads are known.
    """
    slots = {name: count for name, count in slots.items() if entries.get(name)}
    total, arriving = sum(slots.values()), sum(entries.values())
    if not total or not arriving or own not in entries:
        return {own: 1.0}
    need = {name: count / arriving for name, count in sorted(entries.items())}
    have = {name: slots.get(name, 0.0) / total for name in need}
    if need[own] <= have[own]:
        return {own: 1.0}
    away = 1.0 - have[own] / need[own]
    spare = {name: max(0.0, have[name] - need[name]) for name in need}
    shares = {name: away * part / sum(spare.values()) for name, part in spare.items() if part}
    return {own: 1.0 - away, **shares}


class RegionSplit:
    """``own``: the entry's region, which has the first interval; ``speed``: the most that the
    shares change in a second."""

    def __init__(self, own: str, shares: dict[str, float], speed: float):
        self._own = own
        self._speed = speed
        self._at_s: float | None = None
        self.shares = dict(shares)
        self._wishes = dict(shares)
        self._credit = dict.fromkeys(shares, 0.0)

    def wish(self, region: str, now: float) -> None:
        """Note where the next request would best run."""
        if self._at_s is None:
            self._at_s = now
        elapsed_s = min(WISH_TIME_S, max(0.0, now - self._at_s))
        self._at_s = now
        for name in (region, self._own):
            if name not in self.shares:
                self.shares[name] = self._wishes[name] = self._credit[name] = 0.0
        # Dense requests count less each, so that the average covers the same time.
        weight = max(elapsed_s / WISH_TIME_S, 0.02)
        for name, old in self._wishes.items():
            self._wishes[name] = old + ((name == region) - old) * weight
        self._move(self._speed * elapsed_s)

    def _move(self, most):
        """Bring the shares nearer to the wishes, by at most ``most`` in all."""
        gaps = {name: self._wishes[name] - part for name, part in self.shares.items()}
        distance = sum(max(0.0, gap) for gap in gaps.values())
        if distance <= 0.0:
            return
        step = min(1.0, most / distance)
        for name, gap in gaps.items():
            self.shares[name] += step * gap

    def order(self, position: float) -> list[str]:
        """Return the regions for a request, the one whose turn it is first.

        ``position``: of its object, from 0 to 1.
        """
        scores, start = {}, 0.0
        others = sorted(name for name in self.shares if name != self._own)
        for name in (self._own, *others):
            end = start + self.shares.get(name, 0.0)
            distance = max(0.0, start - position, position - end)
            scores[name] = CREDIT_WEIGHT * self._credit.get(name, 0.0) - distance
            start = end
        return sorted(scores, key=scores.get, reverse=True)

    def sent(self, region: str) -> None:
        """Note where a request was sent."""
        for name, part in self.shares.items():
            credit = self._credit[name] + part - (name == region)
            self._credit[name] = min(MAX_CREDIT, max(-MAX_CREDIT, credit))
