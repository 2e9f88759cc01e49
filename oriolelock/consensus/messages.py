"""
oriolelock.consensus.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Messages between the replicas of one group.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = [
    "Append",
    "AppendReply",
    "Entry",
    "InstallSnapshot",
    "InstallSnapshotReply",
    "Membership",
    "PreVote",
    "PreVoteReply",
    "Replica",
    "RequestTransfer",
    "TimeoutNow",
    "Vote",
    "VoteReply",
]


@codec.register("replica")
@dataclasses.dataclass(frozen=True)
class Replica:
    """``incarnation`` is the random id of the replica's data folder."""

    name: str
    incarnation: str
    voter: bool


@codec.register("membership")
@dataclasses.dataclass(frozen=True)
class Membership:
    """The replicas of a group."""

    replicas: tuple[Replica, ...]


@codec.register("entry")
@dataclasses.dataclass(frozen=True)
class Entry:
    """One position of the log. ``kind``: ``command``, ``membership`` or ``noop``.

    ``data`` is the encoded command or membership.
    """

    index: int
    term: int
    kind: str
    data: bytes


@codec.register("pre-vote")
@dataclasses.dataclass(frozen=True)
class PreVote:
    """Asks whether a vote in ``term`` would be granted."""

    term: int
    last_index: int
    last_term: int


@codec.register("pre-vote-reply")
@dataclasses.dataclass(frozen=True)
class PreVoteReply:
    """``term`` is the term that was asked about when granted, else the sender's term."""

    term: int
    granted: bool


@codec.register("vote")
@dataclasses.dataclass(frozen=True)
class Vote:
    """Asks for a vote in ``term``. ``transfer``: the leader itself has asked for it."""

    term: int
    last_index: int
    last_term: int
    transfer: bool = False


@codec.register("vote-reply")
@dataclasses.dataclass(frozen=True)
class VoteReply:
    """The answer to a vote request."""

    term: int
    granted: bool


@codec.register("append")
@dataclasses.dataclass(frozen=True)
class Append:
    """Entries after ``prev_index``; empty as a heartbeat. ``round`` numbers rounds of
    heartbeats, for read confirmation."""

    term: int
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...]


@codec.register("append-reply")
@dataclasses.dataclass(frozen=True)
class AppendReply:
    """``match_index``: last index that agrees, or where to try next after a refusal."""

    term: int
    success: bool
    match_index: int
    round: int


@codec.register("install-snapshot")
@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """The state at ``last_index``, in chunks of ``data`` from ``offset``."""

    term: int
    last_index: int
    last_term: int
    membership: Membership
    offset: int
    data: bytes
    done: bool


@codec.register("install-snapshot-reply")
@dataclasses.dataclass(frozen=True)
class InstallSnapshotReply:
    """``next_offset``: how much of the snapshot has arrived; ``done`` when it is in use."""

    term: int
    last_index: int
    next_offset: int
    done: bool


@codec.register("timeout-now")
@dataclasses.dataclass(frozen=True)
class TimeoutNow:
    """Hands leadership over: the receiver starts an election at once."""

    term: int


@codec.register("request-transfer")
@dataclasses.dataclass(frozen=True)
class RequestTransfer:
    """Sent by a preferred follower: asks the leader of ``term`` to hand over to it."""

    term: int
