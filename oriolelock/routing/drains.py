"""
oriolelock.routing.drains
~~~~~~~~~~~~~~~~~~~~~~~~~

    Which endpoints, regions and entries get less or no new work because of a drain.
"""

import collections.abc

from oriolelock.model import drain, endpoint, member

__all__ = ["endpoint_share", "entry_share", "matching", "region_share", "work_share"]

# New work ends before the deadline, so that requests in flight end before it too.
REDUCTION_PART = 0.8


def work_share(item: drain.Drain, wall_s: float) -> float:
    """Return the part of new work that the target of a drain still gets, 1 to 0."""
    if wall_s < item.start_s:
        return 1.0
    length_s = (item.deadline_s - item.start_s) * REDUCTION_PART
    if wall_s >= item.start_s + length_s:
        return 0.0
    return 1.0 - (wall_s - item.start_s) / length_s


def matching(
    drains: collections.abc.Iterable[drain.Drain], item: endpoint.Endpoint
) -> tuple[drain.Drain, ...]:
    """Return the drains that cover an endpoint."""
    return tuple(d for d in drains if d.covers_endpoint(item))


def endpoint_share(found: collections.abc.Iterable[drain.Drain], wall_s: float) -> float:
    """Return the part of new work for an endpoint covered by the drains ``found``.

    A region is reduced through its weight, within the cap on shifts; its endpoints stop at the
    deadline.
    """
    share = 1.0
    for item in found:
        part = work_share(item, wall_s)
        if item.scope != "region" or wall_s >= item.deadline_s:
            share = min(share, part)
    return share


def region_share(
    drains: collections.abc.Iterable[drain.Drain], region: str, wall_s: float
) -> float:
    """Return the part of its usual work that a region still gets."""
    parts = [work_share(d, wall_s) for d in drains if d.scope == "region" and d.target == region]
    return min(parts, default=1.0)


def entry_share(
    drains: collections.abc.Iterable[drain.Drain], item: member.Member, wall_s: float
) -> float:
    """Return the part of lookups that still name an entry; 0 when it leaves or is down."""
    if item.state != "live":
        return 0.0
    parts = [work_share(d, wall_s) for d in drains if d.covers_entry(item)]
    return min(parts, default=1.0)
