"""
oriolelock.dispatch.estimates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a request can expect of an endpoint, and what sending it there costs.
"""

import collections.abc
import dataclasses
import random

from oriolelock.dispatch import costs, decisions, endpoint_view, rankings, service_times

__all__ = ["Estimator"]

CROSS_REGION_DELAY_S = 0.05
# Cost of each rank below an object's preferred endpoint, up to MAX_RANK.
RANK_COST = 0.06
MAX_RANK = 4
# Cold endpoints run at about half their usual speed.
COLD_SLOWDOWN = 2.0


@dataclasses.dataclass(frozen=True)
class Estimator:
    """``region`` and ``domain``: of the entry."""

    region: str
    domain: str
    rng: random.Random

    def estimate(
        self,
        view: endpoint_view.EndpointView,
        context: decisions.RequestContext,
        times: service_times.ServiceTimes,
        ranks: collections.abc.Mapping[str, int] | None,
        best_rank: int,
        now: float,
    ) -> tuple[decisions.Send, float]:
        """Return what to expect of an endpoint, and the cost.

        ``ranks``: of the endpoints for the object, None without one; ``best_rank``: the lowest
        among the endpoints of the same region that may be used.
        """
        instance = view.endpoint
        rank = ranks.get(instance.name, rankings.LAST_RANK) if ranks is not None else None
        is_preferred = rank == best_rank
        is_cold = view.is_cold(now)
        warm = not times.has_affinity or (bool(context.key) and view.has_object(context.digest))
        hit_rate = 0.0 if is_cold and not warm else times.hit_rate(warm, is_preferred)
        expected_s = times.expected_s(hit_rate)
        wait_s = view.expected_wait_s(expected_s, now)
        service_s = expected_s * view.slowness(now) * (COLD_SLOWDOWN if is_cold else 1.0)
        cross_region = instance.region != self.region
        usual_s = wait_s + (service_s if warm or is_cold else times.expected_s(0.0))
        send = decisions.Send(
            view, wait_s, service_s, warm, cross_region, is_cold, usual_s, is_preferred
        )
        cost = self.slowness_cost(send, context, now) + costs.CACHE_MISS * (1.0 - hit_rate)
        if view.is_reported_unreachable(now):
            cost += costs.UNREACHABLE
        if cross_region:
            cost += costs.CROSS_REGION
        elif instance.failure_domain != self.domain:
            cost += costs.CROSS_DOMAIN
        if rank is None:
            cost += RANK_COST * MAX_RANK * self.rng.random()
        else:
            cost += RANK_COST * min(MAX_RANK, rank)
        return send, cost

    def slowness_cost(
        self, send: decisions.Send, context: decisions.RequestContext, now: float
    ) -> float:
        """Return the cost of the response's time, and of errors."""
        delay_s = CROSS_REGION_DELAY_S if send.cross_region else 0.0
        expected_s = send.wait_s + send.service_s + delay_s
        time_cost = costs.time_cost(expected_s, context.objective_s, context.left_s)
        return time_cost + send.view.error_rate(now)
