"""
oriolelock.distribution.tree
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which parents an entry may subscribe to.

    The live entries of a failure domain, in a fixed order, form a heap below two heads. The
    heads subscribe to control replicas, so that control holds two connections per failure
    domain and not one per entry.
"""

import collections.abc

import xxhash

from oriolelock.model import member as members

__all__ = ["FAN_OUT", "HEADS", "MAX_CHILDREN", "candidates", "depth"]

HEADS = 2
FAN_OUT = 16
# Children that lost their parent move to others; twice the fan-out leaves room for them.
MAX_CHILDREN = 2 * FAN_OUT


def _order_key(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name


def _domain_order(
    own: members.Member, known: collections.abc.Iterable[members.Member]
) -> list[members.Member]:
    live = {
        m.name: m
        for m in known
        if m.role == "entry" and m.state == "live" and m.failure_domain == own.failure_domain
    }
    live[own.name] = own
    return sorted(live.values(), key=lambda m: _order_key(m.name))


def candidates(
    own: members.Member,
    known: collections.abc.Iterable[members.Member],
    control: collections.abc.Sequence[str],
) -> list[str]:
    """Return link addresses to subscribe to, best first; the control replicas come last.

    A parent always stands before its child in the fixed order, so that no cycle can form,
    also while entries disagree on who is live.
    """
    order = _domain_order(own, known)
    position = next(n for n, m in enumerate(order) if m.name == own.name)
    replicas = sorted(
        control, key=lambda address: xxhash.xxh64_intdigest((address + own.name).encode())
    )
    if position < HEADS:
        return replicas
    parent = (position - HEADS) // FAN_OUT
    nearest = sorted(range(position), key=lambda n: (abs(n - parent), n))[: HEADS + 1]
    chosen = [order[n].link_address for n in nearest if order[n].link_address]
    heads = [order[n].link_address for n in range(HEADS) if order[n].link_address]
    return list(dict.fromkeys([*chosen, *heads, *replicas]))


def depth(entries: int) -> int:
    """Return the hops from a head to the last of ``entries`` in one failure domain."""
    position, hops = entries - 1, 0
    while position >= HEADS:
        position = (position - HEADS) // FAN_OUT
        hops += 1
    return hops
