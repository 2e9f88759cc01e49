"""
oriolelock.consensus.state
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The state of a node, modified only by ``node.step``.
"""

import collections
import dataclasses
import enum
import random

from oriolelock.consensus import log, messages, node_settings, outputs

__all__ = ["Node", "PendingRead", "PendingSave", "Progress", "Role", "Snapshot"]


class Role(enum.Enum):
    """The role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The state of the state machine and the membership in effect at ``index``."""

    index: int
    term: int
    membership: messages.Membership
    data: bytes


@dataclasses.dataclass
class Progress:
    """The replication progress of another replica, tracked by the leader.

    ``last_contact_s`` is the time of its last reply, or the one from which the leader tracks it
    until it ``has_replied``. ``admitted_round`` is the heartbeat round in progress at that time.
    ``in_flight`` contains the last index of each unacknowledged message with entries.
    """

    incarnation: str
    next_index: int
    last_contact_s: float
    admitted_round: int = 0
    has_replied: bool = False
    match_index: int = 0
    acked_round: int = 0
    in_flight: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


@dataclasses.dataclass(frozen=True)
class PendingRead:
    """A read that waits for a majority to acknowledge heartbeat round ``round`` or a later one.

    ``index`` is 0 if the leader had not yet committed an entry of its term.
    """

    request_id: str
    round: int
    index: int


@dataclasses.dataclass
class PendingSave:
    """A ``Save`` in progress that makes ``term`` and the log up to ``last_index`` durable."""

    number: int
    term: int
    last_index: int


@dataclasses.dataclass
class Node:
    """One replica of one group. Times are in seconds, from the clock passed to ``step``."""

    cfg: node_settings.NodeSettings
    rng: random.Random
    term: int
    voted_for: str
    log: log.Log
    snapshot: Snapshot
    memberships: list[tuple[int, messages.Membership]]
    commit_index: int
    durable_index: int
    durable_term: int
    role: Role = Role.FOLLOWER
    leader: str = ""
    leader_contact_s: float = float("-inf")
    follower_since_s: float = 0.0
    election_deadline_s: float = 0.0
    votes: set[str] = dataclasses.field(default_factory=set)
    # Rounds of the pre-vote in progress.
    pre_vote_rounds: int = 0
    vote_save_number: int = 0
    # State of a leader.
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    non_members: dict[str, tuple[str, float]] = dataclasses.field(default_factory=dict)
    heartbeat_round: int = 0
    heartbeat_sent_s: float = 0.0
    confirmed_round: int = 0
    pending_reads: list[PendingRead] = dataclasses.field(default_factory=list)
    transfer_target: str = ""
    transfer_deadline_s: float = 0.0
    transfer_requested_s: float = 0.0
    # Persistence.
    save_number: int = 0
    last_saved_number: int = 0
    pending_saves: list[PendingSave] = dataclasses.field(default_factory=list)
    first_unsaved_index: int = 0
    truncate_from: int = 0
    state_changed: bool = False
    pending_sends: list[tuple[int, outputs.Send]] = dataclasses.field(default_factory=list)
    # A snapshot being received: term of the leader, last index, last term; and its data so far.
    incoming_snapshot_id: tuple[int, int, int] = (0, 0, 0)
    incoming_snapshot_data: bytearray = dataclasses.field(default_factory=bytearray)
    pending_outputs: list[outputs.Output] = dataclasses.field(default_factory=list)
    announced_leadership: tuple[str, int, bool] = ("", 0, False)

    @property
    def membership(self) -> messages.Membership:
        """Return the latest membership in the log, which is in effect even if uncommitted."""
        return self.memberships[-1][1]

    @property
    def identity(self) -> str:
        """Return ``name/incarnation`` of this node."""
        return f"{self.cfg.name}/{self.cfg.incarnation}"
