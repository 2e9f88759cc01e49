"""
oriolelock.consensus.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The Raft messages that the replicas of a group exchange, and the log entries in them.
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
    """A member of a group; ``incarnation`` is the random id of its data folder."""

    name: str
    incarnation: str
    voter: bool


@codec.register("membership", sparse_fields=1)
@dataclasses.dataclass(frozen=True)
class Membership:
    """The replicas of a group.

    ``old_voters`` are the voters before the change in progress in a joint membership, in which
    each decision needs a majority of the old voters and one of the voters in ``replicas``. It is
    empty in all other memberships. Those of the old voters that lose their vote stand among
    ``replicas`` as learners. Builds that do not know the field ignore it.
    """

    replicas: tuple[Replica, ...]
    old_voters: tuple[Replica, ...] = ()


@codec.register("entry")
@dataclasses.dataclass(frozen=True)
class Entry:
    """A log entry; ``kind`` is ``command``, ``membership`` or ``noop``.

    ``data`` is the encoded command or membership.
    """

    index: int
    term: int
    kind: str
    data: bytes


@codec.register("pre-vote")
@dataclasses.dataclass(frozen=True)
class PreVote:
    """Requests a pre-vote: whether a vote in ``term`` would be granted."""

    term: int
    last_index: int
    last_term: int


@codec.register("pre-vote-reply")
@dataclasses.dataclass(frozen=True)
class PreVoteReply:
    """``term`` is the term of the request if granted, else the current term of the sender."""

    term: int
    granted: bool


@codec.register("vote")
@dataclasses.dataclass(frozen=True)
class Vote:
    """Requests a vote in ``term``; ``transfer`` is set if the leader requested the election."""

    term: int
    last_index: int
    last_term: int
    transfer: bool = False


@codec.register("vote-reply")
@dataclasses.dataclass(frozen=True)
class VoteReply:
    """The reply to a vote request."""

    term: int
    granted: bool


@codec.register("append")
@dataclasses.dataclass(frozen=True)
class Append:
    """The entries after ``prev_index``; a heartbeat has none. ``round`` is the number of the
    heartbeat round, used to confirm reads."""

    term: int
    prev_index: int
    prev_term: int
    commit: int
    round: int
    entries: tuple[Entry, ...]


@codec.register("append-reply")
@dataclasses.dataclass(frozen=True)
class AppendReply:
    """``match_index`` is the last matching index, or the index to retry from after a failure."""

    term: int
    success: bool
    match_index: int
    round: int


@codec.register("install-snapshot")
@dataclasses.dataclass(frozen=True)
class InstallSnapshot:
    """A chunk of the snapshot at ``last_index``: ``data`` starts at byte ``offset``."""

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
    """``next_offset`` is the number of bytes received; ``done`` is set once it is installed."""

    term: int
    last_index: int
    next_offset: int
    done: bool


@codec.register("timeout-now")
@dataclasses.dataclass(frozen=True)
class TimeoutNow:
    """Transfers leadership: the receiver starts an election immediately."""

    term: int


@codec.register("request-transfer")
@dataclasses.dataclass(frozen=True)
class RequestTransfer:
    """Sent by a preferred follower to request leadership from the leader of ``term``."""

    term: int
