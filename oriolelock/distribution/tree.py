"""
oriolelock.distribution.tree
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Chooses the parents that an entry may subscribe to.

    The live entries of a failure domain, in a fixed order, form a heap-shaped tree below two
    heads. The heads subscribe to control replicas, so that control holds two connections for
    each failure domain, not one for each entry.
"""

import collections.abc

import xxhash

from oriolelock.model import member as members

__all__ = ["FAN_OUT", "HEADS", "MAX_CHILDREN", "depth", "parent_candidates"]

HEADS = 2
FAN_OUT = 16
# Twice the fan-out leaves room for children whose own parent has failed.
MAX_CHILDREN = 2 * FAN_OUT


def _sort_key(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name


def _order_domain(
    own: members.Member, all_members: collections.abc.Iterable[members.Member]
) -> list[members.Member]:
    live_by_name = {
        m.name: m
        for m in all_members
        if m.role == "entry" and m.state == "live" and m.failure_domain == own.failure_domain
    }
    live_by_name[own.name] = own
    return sorted(live_by_name.values(), key=lambda m: _sort_key(m.name))


def parent_candidates(
    own: members.Member,
    all_members: collections.abc.Iterable[members.Member],
    control: collections.abc.Sequence[str],
) -> list[str]:
    """Return the link addresses to subscribe to, best first, ending with the control replicas.

    A parent always precedes its child in the fixed order, so that no cycle can form, even
    while entries disagree on which of them are live. Replicas of the own region come first: the
    same changes then pass between regions once for each replica, not for each head. Replicas that
    are no members come last, since they may be gone.
    """
    all_members = tuple(all_members)
    regions = {m.link_address: m.region for m in all_members if m.role == "control"}
    order = _order_domain(own, all_members)
    position = next(n for n, m in enumerate(order) if m.name == own.name)
    replicas = sorted(
        control,
        key=lambda address: (
            address not in regions,
            regions.get(address) != own.region,
            xxhash.xxh64_intdigest((address + own.name).encode()),
        ),
    )
    if position < HEADS:
        return replicas
    parent_position = (position - HEADS) // FAN_OUT
    nearest = sorted(range(position), key=lambda n: (abs(n - parent_position), n))[: HEADS + 1]
    parents = [order[n].link_address for n in nearest if order[n].link_address]
    heads = [order[n].link_address for n in range(HEADS) if order[n].link_address]
    return list(dict.fromkeys([*parents, *heads, *replicas]))


def depth(entries: int) -> int:
    """Return the number of hops between a head and the last of ``entries`` of its domain."""
    position, hops = entries - 1, 0
    while position >= HEADS:
        position = (position - HEADS) // FAN_OUT
        hops += 1
    return hops
