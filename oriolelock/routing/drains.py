"""
oriolelock.routing.drains
~~~~~~~~~~~~~~~~~~~~~~~~~

    Shares of new work that endpoints, regions and entries receive during a drain.
"""

import collections.abc

from oriolelock.model import drain, endpoint, member

__all__ = ["endpoint_share", "entry_share", "find_covering", "region_share", "work_share"]

# Fraction of the drain over which new work falls to zero; the rest of the time is left for
# requests in flight to finish before the deadline.
RAMP_DOWN_FRACTION = 0.8


def work_share(planned_drain: drain.Drain, wall_s: float) -> float:
    """Return the share of new work, from 1 to 0, that the target of a drain still receives."""
    if wall_s < planned_drain.start_s:
        return 1.0
    ramp_down_s = (planned_drain.deadline_s - planned_drain.start_s) * RAMP_DOWN_FRACTION
    if wall_s >= planned_drain.start_s + ramp_down_s:
        return 0.0
    return 1.0 - (wall_s - planned_drain.start_s) / ramp_down_s


def find_covering(
    drains: collections.abc.Iterable[drain.Drain], candidate: endpoint.Endpoint
) -> tuple[drain.Drain, ...]:
    """Return the drains that cover an endpoint."""
    return tuple(d for d in drains if d.covers_endpoint(candidate))


def endpoint_share(covering_drains: collections.abc.Iterable[drain.Drain], wall_s: float) -> float:
    """Return the share of new work for an endpoint covered by ``covering_drains``.

    A region drain reduces the weight of the region, limited by the shift cap, so it affects
    the share of an endpoint only from the deadline on, where the share is 0.
    """
    share = 1.0
    for planned_drain in covering_drains:
        drain_share = work_share(planned_drain, wall_s)
        if planned_drain.scope != "region" or wall_s >= planned_drain.deadline_s:
            share = min(share, drain_share)
    return share


def region_share(
    drains: collections.abc.Iterable[drain.Drain], region: str, wall_s: float
) -> float:
    """Return the share of its normal work that a region still receives."""
    shares = [work_share(d, wall_s) for d in drains if d.scope == "region" and d.target == region]
    return min(shares, default=1.0)


def entry_share(
    drains: collections.abc.Iterable[drain.Drain], entry: member.Member, wall_s: float
) -> float:
    """Return the share of lookups that still return an entry; 0 if it is leaving or down."""
    if entry.state != "live":
        return 0.0
    shares = [work_share(d, wall_s) for d in drains if d.covers_entry(entry)]
    return min(shares, default=1.0)
