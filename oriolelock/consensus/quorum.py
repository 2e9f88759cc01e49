"""
oriolelock.consensus.quorum
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Voters and majorities of a membership.
"""

import collections.abc

from oriolelock.consensus import messages

__all__ = ["find", "is_member", "is_voter", "majority_value", "voters"]


def find(membership: messages.Membership, name: str) -> messages.Replica | None:
    """Return the replica with this name and any incarnation, or None."""
    return next((replica for replica in membership.replicas if replica.name == name), None)


def is_member(membership: messages.Membership, name: str, incarnation: str) -> bool:
    """Return whether this incarnation of the replica is a member."""
    replica = find(membership, name)
    return replica is not None and replica.incarnation == incarnation


def is_voter(membership: messages.Membership, name: str, incarnation: str) -> bool:
    """Return whether this incarnation of the replica is a voter."""
    replica = find(membership, name)
    return replica is not None and replica.voter and replica.incarnation == incarnation


def voters(membership: messages.Membership) -> tuple[messages.Replica, ...]:
    """Return the voting replicas."""
    return tuple(replica for replica in membership.replicas if replica.voter)


def majority_value(
    membership: messages.Membership,
    value_of: collections.abc.Callable[[messages.Replica], float],
) -> float:
    """Return the largest value that a majority of the voters has reached; -inf without voters."""
    values = sorted((value_of(replica) for replica in voters(membership)), reverse=True)
    return values[len(values) // 2] if values else float("-inf")
