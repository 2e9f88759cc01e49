"""
oriolelock.control.majority
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What one replica knows of a group's majority: who is a member, who is heard, who is missing.
"""

import collections.abc
import dataclasses

from oriolelock.consensus import messages, quorum

__all__ = ["Assessment", "Contacts", "Member", "assess", "make_gauges", "round_seconds", "to_json"]

# For how long a message proves under which incarnation its sender runs. While there is no leader,
# voters exchange messages more often than that.
INCARNATION_VALID_S = 10.0


@dataclasses.dataclass(frozen=True)
class Contacts:
    """What this replica heard of the others, by name, at monotonic time ``now``.

    ``heard_s``: when something last arrived from them, a heartbeat at least. ``incarnations``:
    under which incarnation they last sent a message of the group, and when. A replica counts as
    reachable for ``timeout_s`` after it was heard.
    """

    heard_s: collections.abc.Mapping[str, float]
    incarnations: collections.abc.Mapping[str, tuple[str, float]]
    timeout_s: float
    now: float


@dataclasses.dataclass(frozen=True)
class Member:
    """A member of the group as one replica sees it.

    ``silent_s``: seconds since it was heard, None if never since this replica started.
    ``replaced``: a replica of that name runs with another data folder, so this member is gone.
    """

    name: str
    voter: bool
    reachable: bool
    silent_s: float | None
    replaced: bool


@dataclasses.dataclass(frozen=True)
class Assessment:
    """``role`` is that of this replica: ``voter``, ``learner`` or ``no-member``.

    ``leader`` is empty if none is known; ``leaderless_s``: for how many seconds, else 0.
    ``old_voters``: those of whom a majority is needed as well while a voter is being replaced.
    """

    role: str
    leader: str
    leaderless_s: float
    members: tuple[Member, ...]
    old_voters: tuple[Member, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """The members that count in majorities.

        While a voter is being replaced, the old or the new ones, whichever lack more.
        """
        new_voters = tuple(member for member in self.members if member.voter)
        return max(new_voters, self.old_voters, key=_lacking)

    @property
    def learners(self) -> tuple[Member, ...]:
        """The members that don't count in majorities."""
        return tuple(member for member in self.members if not member.voter)

    @property
    def missing(self) -> tuple[Member, ...]:
        """The voters that can't be reached."""
        return tuple(member for member in self.voters if not member.reachable)

    @property
    def reachable(self) -> int:
        """The number of voters that can be reached, this replica included if it is one."""
        return len(self.voters) - len(self.missing)

    @property
    def needed(self) -> int:
        """The number of voters in a majority; 0 if no member is known."""
        return _needed(self.voters)

    @property
    def has_majority(self) -> bool:
        """Whether a majority is there, as far as this replica knows.

        A leader has one, or it steps down. Without a leader, reachable voters are counted.
        """
        return bool(self.leader) or 0 < self.needed <= self.reachable

    @property
    def remedy(self) -> str:
        """What ends the present lack of a majority or a leader; empty if there is none."""
        if self.leader:
            return ""
        if not self.voters:
            return "a member has to admit this replica"
        if self.has_majority:
            return "the reachable voters have to elect a leader"
        lacking = self.needed - self.reachable
        candidates = [member.name for member in self.missing if not member.replaced]
        if lacking > len(candidates):
            gone = ", ".join(member.name for member in self.missing if member.replaced)
            return f"none by itself: the data of {gone} are gone"
        return f"{lacking} of {', '.join(candidates)} must return"


def _needed(voters):
    return len(voters) // 2 + 1 if voters else 0


def _lacking(voters):
    """Return how many of the voters are lacking to a majority, -inf without voters."""
    reachable = sum(member.reachable for member in voters)
    return _needed(voters) - reachable if voters else float("-inf")


def assess(
    membership: messages.Membership,
    own: messages.Replica,
    contacts: Contacts,
    leader: str,
    leaderless_s: float,
) -> Assessment:
    """Return what a replica knows of its group; of ``own`` only name and incarnation count."""
    role = "no-member"
    if quorum.is_member(membership, own.name, own.incarnation):
        is_voter = quorum.is_voter(membership, own.name, own.incarnation)
        role = "voter" if is_voter else "learner"
    members = [_make_member(replica, own, contacts) for replica in membership.replicas]
    members.sort(key=lambda member: member.name)
    old_voters = [_make_member(replica, own, contacts) for replica in membership.old_voters]
    return Assessment(role, leader, leaderless_s, tuple(members), tuple(old_voters))


def _make_member(replica, own, contacts):
    if replica.name == own.name:
        is_own = replica.incarnation == own.incarnation
        return Member(replica.name, replica.voter, is_own, 0.0 if is_own else None, not is_own)
    heard_s = contacts.heard_s.get(replica.name)
    silent_s = None if heard_s is None else max(0.0, contacts.now - heard_s)
    incarnation, said_s = contacts.incarnations.get(replica.name, (replica.incarnation, 0.0))
    replaced = incarnation != replica.incarnation and contacts.now - said_s <= INCARNATION_VALID_S
    is_heard = silent_s is not None and silent_s <= contacts.timeout_s
    return Member(replica.name, replica.voter, is_heard and not replaced, silent_s, replaced)


def to_json(assessment: Assessment) -> dict:
    """Return an assessment as JSON data; seconds are rounded."""
    return {
        "role": assessment.role,
        "leader": assessment.leader,
        "leaderless_s": round(assessment.leaderless_s, 1),
        "has_majority": assessment.has_majority,
        "voters": len(assessment.voters),
        "reachable": assessment.reachable,
        "needed": assessment.needed,
        "remedy": assessment.remedy,
        "members": [
            {**dataclasses.asdict(member), "silent_s": round_seconds(member.silent_s)}
            for member in assessment.members
        ],
    }


def make_gauges(assessments: collections.abc.Mapping[str, Assessment]) -> dict[str, float]:
    """Return the gauges of a replica from the assessments of its groups.

    Members are those of the group ``config``; the other two are of the worst group.
    """
    config = assessments["config"]
    return {
        "voters": len(config.voters),
        "voters_reachable": config.reachable,
        "voters_needed": config.needed,
        "learners": len(config.learners),
        "has_majority": int(all(found.has_majority for found in assessments.values())),
        "leaderless_s": round(max(found.leaderless_s for found in assessments.values()), 1),
    }


def round_seconds(value: float | None) -> float | None:
    """Round to tenths; None stays None."""
    return None if value is None else round(value, 1)
