"""
oriolelock.consensus.state
~~~~~~~~~~~~~~~~~~~~~~~~~~

    What one node knows: the state that ``node.step`` changes.
"""

import collections
import dataclasses
import enum
import random

from oriolelock.consensus import log, messages, node_settings, outputs

__all__ = ["Node", "PendingRead", "Progress", "Role", "SavePoint", "Snapshot"]


class Role(enum.Enum):
    """The part a node plays in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The state machine's state at ``index``, and the membership in force there."""

    index: int
    term: int
    membership: messages.Membership
    data: bytes


@dataclasses.dataclass
class Progress:
    """What a leader knows of one other replica.

    ``in_flight`` holds the last index of each unanswered message with entries.
    """

    incarnation: str
    next_index: int
    contact_s: float
    match_index: int = 0
    acked_round: int = 0
    in_flight: collections.deque[int] = dataclasses.field(default_factory=collections.deque)
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


@dataclasses.dataclass(frozen=True)
class PendingRead:
    """A read that waits for a majority to answer ``round`` or a later one.

    ``index`` is 0 until the leader has committed an entry of its term.
    """

    request_id: str
    round: int
    index: int


@dataclasses.dataclass
class SavePoint:
    """A ``Save`` under way; when done, ``term`` and the log up to ``last_index`` are durable."""

    number: int
    term: int
    last_index: int


@dataclasses.dataclass
class Node:
    """One replica of one group. Times are those passed to ``step``, in seconds."""

    cfg: node_settings.NodeSettings
    rng: random.Random
    term: int
    voted_for: str
    log: log.Log
    snapshot: Snapshot
    memberships: list[tuple[int, messages.Membership]]
    commit: int
    durable_index: int
    durable_term: int
    role: Role = Role.FOLLOWER
    leader: str = ""
    leader_contact_s: float = float("-inf")
    follows_since_s: float = 0.0
    election_deadline_s: float = 0.0
    votes: set[str] = dataclasses.field(default_factory=set)
    campaign_save: int = 0
    # Leader only.
    progress: dict[str, Progress] = dataclasses.field(default_factory=dict)
    unadmitted: dict[str, tuple[str, float]] = dataclasses.field(default_factory=dict)
    round: int = 0
    round_sent_s: float = 0.0
    confirmed_round: int = 0
    reads: list[PendingRead] = dataclasses.field(default_factory=list)
    transfer_to: str = ""
    transfer_deadline_s: float = 0.0
    transfer_asked_s: float = 0.0
    # Saves.
    save_number: int = 0
    saved_number: int = 0
    saves: list[SavePoint] = dataclasses.field(default_factory=list)
    unsaved_from: int = 0
    truncate_from: int = 0
    state_changed: bool = False
    held: list[tuple[int, outputs.Send]] = dataclasses.field(default_factory=list)
    # A snapshot that arrives: the leader's term, its last index and term, and the bytes so far.
    incoming: tuple[int, int, int] = (0, 0, 0)
    incoming_data: bytearray = dataclasses.field(default_factory=bytearray)
    out: list[outputs.Output] = dataclasses.field(default_factory=list)
    announced: tuple[str, int, bool] = ("", 0, False)

    @property
    def membership(self) -> messages.Membership:
        """Return the membership in force: the last in the log, committed or not."""
        return self.memberships[-1][1]

    @property
    def identity(self) -> str:
        """Return this node's name and incarnation in one string."""
        return f"{self.cfg.name}/{self.cfg.incarnation}"
