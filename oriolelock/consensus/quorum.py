"""
oriolelock.consensus.quorum
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Voters and majorities of a membership.
"""

import collections.abc

from oriolelock.consensus import messages

__all__ = [
    "find",
    "is_joint",
    "is_member",
    "is_voter",
    "majority_value",
    "new_voters",
    "outgoing_voters",
    "voters",
]


def find(membership: messages.Membership, name: str) -> messages.Replica | None:
    """Return the replica with this name and any incarnation, or None."""
    return next((replica for replica in membership.replicas if replica.name == name), None)


def is_member(membership: messages.Membership, name: str, incarnation: str) -> bool:
    """Return whether this incarnation of the replica is a member."""
    replica = find(membership, name)
    return replica is not None and replica.incarnation == incarnation


def is_voter(membership: messages.Membership, name: str, incarnation: str) -> bool:
    """Return whether this incarnation of the replica is a voter; see ``voters``."""
    return any(
        replica.name == name and replica.incarnation == incarnation
        for replica in voters(membership)
    )


def is_joint(membership: messages.Membership) -> bool:
    """Return whether decisions need a majority of the old and one of the new voters."""
    return bool(membership.old_voters)


def new_voters(membership: messages.Membership) -> tuple[messages.Replica, ...]:
    """Return the voters, without those that a joint membership takes the vote from."""
    return tuple(replica for replica in membership.replicas if replica.voter)


def outgoing_voters(membership: messages.Membership) -> tuple[messages.Replica, ...]:
    """Return the voters that a joint membership takes the vote from."""
    kept = {replica.name for replica in new_voters(membership)}
    return tuple(replica for replica in membership.old_voters if replica.name not in kept)


def voters(membership: messages.Membership) -> tuple[messages.Replica, ...]:
    """Return the replicas that count in a majority, in a joint membership in either one."""
    return (*new_voters(membership), *outgoing_voters(membership))


def majority_value(
    membership: messages.Membership,
    value_of: collections.abc.Callable[[messages.Replica], float],
) -> float:
    """Return the largest value that a majority of the voters has reached; -inf without voters.

    In a joint membership it is the largest value that a majority of the old voters and a majority
    of the new ones have both reached.
    """
    value = _median(new_voters(membership), value_of)
    if is_joint(membership):
        value = min(value, _median(membership.old_voters, value_of))
    return value


def _median(replicas, value_of):
    values = sorted((value_of(replica) for replica in replicas), reverse=True)
    return values[len(values) // 2] if values else float("-inf")
