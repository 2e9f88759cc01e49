"""
oriolelock.dispatch.region_choice
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Selects the region of each request, among the best endpoints of all regions.

    Answers to two loads. Where a region has few endpoints and many callers, requests that follow
    the cheapest region move objects with each swing of the load, each at the price of a slow first
    run. Where a region fails, its objects must leave, at the bounded rate.
"""

import collections.abc
import dataclasses
import random

from oriolelock.dispatch import (
    costs,
    decisions,
    endpoint_view,
    estimates,
    ranking,
    region_split,
)

__all__ = ["RegionCandidate", "RegionChoice"]

# Objects move to another region if it saves this much of a response's value: several requests pay
# for the slow first run there.
MOVE_MARGIN = 0.15

SlotsByRegion = collections.abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True)
class RegionCandidate:
    """The cheapest acceptable endpoint of a region, if any, and the region's shortest wait."""

    send: decisions.Send | None
    cost: float
    wait_s: float


def count_slots(
    views: collections.abc.Iterable[endpoint_view.EndpointView],
    drained: collections.abc.Container[str],
) -> dict[str, float]:
    """Return the slots of endpoints by region, without those that leave or are ``drained``."""
    slots: dict[str, float] = {}
    for view in views:
        instance = view.endpoint
        if instance.state == "live" and instance.name not in drained:
            slots[instance.region] = slots.get(instance.region, 0.0) + instance.slots
    return slots


class RegionChoice:
    """The division of one entry's requests among regions, by service. Not thread-safe.

    ``region``: of the entry; ``shift_speed``: largest change per second of the share of requests
    that leave it.
    """

    def __init__(
        self,
        region: str,
        shift_speed: float,
        estimator: estimates.Estimator,
        rng: random.Random,
    ):
        self._region = region
        self._shift_speed = shift_speed
        self._estimator = estimator
        self._rng = rng
        self._splits: dict[str, region_split.RegionSplit] = {}
        # Names of services whose endpoints or entries may have changed since their last request.
        self._outdated: set[str] = set()

    def configure(self, services: collections.abc.Container[str]) -> None:
        """Keep the divisions of ``services``, and follow changes of endpoints and entries."""
        self._splits = {k: v for k, v in self._splits.items() if k in services}
        self._outdated = set(self._splits)

    def prepare(
        self,
        service: str,
        slots: collections.abc.Callable[[], SlotsByRegion],
        entries: collections.abc.Callable[[], collections.abc.Mapping[str, float]],
    ) -> None:
        """Bring the division of a service up to date; ``slots`` and ``entries`` by region."""
        split = self._splits.get(service)
        if split is not None and service not in self._outdated:
            return
        shares = region_split.usual_shares(self._region, slots(), entries())
        if split is None:
            self._splits[service] = region_split.RegionSplit(
                self._region, shares, self._shift_speed
            )
        else:
            split.use_usual(shares)
        self._outdated.discard(service)

    def select(
        self,
        candidates: collections.abc.Mapping[str, RegionCandidate],
        context: decisions.RequestContext,
        now: float,
    ) -> decisions.Send | None:
        """Return the endpoint in the request's region, or None if it has none.

        ``candidates``: by region, at least one.
        """
        split = self._splits[context.service]
        cheapest = min(candidates, key=lambda name: candidates[name].cost)
        position = ranking.position(context.key) if context.key else self._rng.random()
        order = [name for name in split.order(position) if name in candidates]
        if candidates[cheapest].send is not None:
            customary = (split.usual_region(position), *order[:1])
            preferred = self._preferred(candidates, customary, cheapest, context, now)
            split.record_preference(preferred, now)
        if self._region not in candidates:
            order.append(cheapest)
        elif not order or candidates[order[0]].send is None:
            order = [self._region]
        return candidates[order[0]].send

    def _preferred(self, candidates, customary, cheapest, context, now):
        """Return the first of the ``customary`` regions that is fast enough, or the cheapest."""

        def slowness_cost(name):
            send = candidates[name].send
            if send is None:
                return costs.MISSED_COST
            return self._estimator.slowness_cost(send, context, now)

        limit = slowness_cost(cheapest) + MOVE_MARGIN
        for name in customary:
            if name in candidates and slowness_cost(name) <= limit:
                return name
        return cheapest

    def record_sent(self, service: str, region: str) -> None:
        """Record that a request was sent to a region."""
        if service in self._splits:
            self._splits[service].record_sent(region)
