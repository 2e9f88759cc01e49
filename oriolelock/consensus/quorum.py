"""
oriolelock.consensus.quorum
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Who has a vote, and what a majority of the voters has reached.
"""

import collections.abc

from oriolelock.consensus import messages

__all__ = ["find", "is_member", "is_voter", "majority_value", "voters"]


def find(membership: messages.Membership, name: str) -> messages.Replica | None:
    """Return the replica of this name, whatever its incarnation."""
    return next((item for item in membership.replicas if item.name == name), None)


def is_member(membership: messages.Membership, name: str, incarnation: str) -> bool:
    """Return whether exactly this incarnation belongs to the group."""
    replica = find(membership, name)
    return replica is not None and replica.incarnation == incarnation


def is_voter(membership: messages.Membership, name: str, incarnation: str) -> bool:
    """Return whether exactly this incarnation has a vote."""
    replica = find(membership, name)
    return replica is not None and replica.voter and replica.incarnation == incarnation


def voters(membership: messages.Membership) -> tuple[messages.Replica, ...]:
    """Return the replicas with a vote."""
    return tuple(item for item in membership.replicas if item.voter)


def majority_value(
    membership: messages.Membership,
    value_of: collections.abc.Callable[[messages.Replica], float],
) -> float:
    """Return the largest value that a majority of the voters has reached; -inf without voters."""
    values = sorted((value_of(item) for item in voters(membership)), reverse=True)
    return values[len(values) // 2] if values else float("-inf")
