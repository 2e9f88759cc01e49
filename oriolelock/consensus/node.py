"""
oriolelock.consensus.node
~~~~~~~~~~~~~~~~~~~~~~~~~

    A Raft node as a deterministic state machine without I/O.

    Implements Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
    (2014), and Ongaro's dissertation (2014). Outputs must be executed in order.
"""

import collections.abc
import random

from oriolelock.consensus import (
    election,
    events,
    follower,
    log,
    membership,
    messages,
    node_settings,
    outputs,
    persistence,
    persistent_state,
    probe,
    quorum,
    reads,
    replacement,
    replication,
    snapshots,
    state,
    transfer,
)
from oriolelock.wire import codec

__all__ = [
    "Node",
    "is_leader",
    "leader",
    "make",
    "membership_plan",
    "non_members",
    "snapshot_metadata",
    "step",
]

Node = state.Node


def make(
    cfg: node_settings.NodeSettings,
    stored: persistent_state.PersistentState,
    now: float,
    rng: random.Random,
) -> Node:
    """Create a node from its stored state, as a follower.

    The state machine must start from ``stored.snapshot``; later entries arrive as ``Commit``.
    """
    memberships = [(stored.snapshot_index, stored.membership)]
    for entry in stored.entries:
        if entry.kind == "membership":
            memberships.append((entry.index, codec.decode(entry.data)))
    entry_log = log.Log(stored.snapshot_index, stored.snapshot_term, stored.entries)
    node = Node(
        cfg=cfg,
        rng=rng,
        term=stored.term,
        voted_for=stored.voted_for,
        log=entry_log,
        snapshot=state.Snapshot(
            stored.snapshot_index, stored.snapshot_term, stored.membership, stored.snapshot
        ),
        memberships=memberships,
        commit_index=stored.snapshot_index,
        durable_index=entry_log.last_index,
        durable_term=stored.term,
    )
    election.reset_initial_election_timer(node, now)
    return node


def step(node: Node, event: events.Event, now: float) -> list[outputs.Output]:
    """Handle one event at time ``now`` (in seconds) and return the resulting outputs.

    Raises ValueError if a guarantee of the protocol is violated, such as two leaders in a term.
    """
    election.step_down_without_quorum(node, now)
    _EVENT_HANDLERS[type(event)](node, event, now)
    reads.start_round_if_needed(node, now)
    _emit_leader_change(node)
    persistence.emit_save(node)
    result, node.pending_outputs = node.pending_outputs, []
    return result


def _emit_leader_change(node):
    leadership = (node.leader, node.term, node.role == state.Role.LEADER)
    if leadership != node.announced_leadership:
        node.announced_leadership = leadership
        node.pending_outputs.append(outputs.LeaderChanged(*leadership))


def _on_tick(node, event, now):
    election.tick(node, now)
    replication.tick(node, now)
    transfer.request_if_preferred(node, now)


def _on_saved(node, event, now):
    persistence.on_saved(node, event.number)
    if node.role == state.Role.CANDIDATE:
        election.count_votes(node, now)
    replication.advance_commit(node)


def _on_received(node, event, now):
    if type(event.msg) in _LEADER_MESSAGE_HANDLERS:
        _on_leader_message(node, event, now)
    else:
        _PEER_MESSAGE_HANDLERS[type(event.msg)](node, event, now)


def _on_leader_message(node, event, now):
    """Handle a message to the leader if the sender is a member of the group.

    A replica with a new disk replies under its old name, but must not count as the old member.
    """
    if not quorum.is_member(node.membership, event.sender, event.incarnation):
        if node.role == state.Role.LEADER:
            node.non_members[event.sender] = (event.incarnation, now)
        return
    if event.msg.term > node.term:
        election.become_follower(node, event.msg.term, "", now)
    elif node.role == state.Role.LEADER and event.msg.term == node.term:
        _LEADER_MESSAGE_HANDLERS[type(event.msg)](node, event, now)


_PEER_MESSAGE_HANDLERS = {
    messages.Append: follower.on_append,
    messages.InstallSnapshot: snapshots.on_install,
    messages.PreVote: election.on_pre_vote,
    messages.PreVoteReply: election.on_pre_vote_reply,
    messages.TimeoutNow: election.on_timeout_now,
    messages.Vote: election.on_vote,
    messages.VoteReply: election.on_vote_reply,
}

_LEADER_MESSAGE_HANDLERS = {
    messages.AppendReply: replication.on_append_reply,
    messages.InstallSnapshotReply: snapshots.on_install_reply,
    messages.RequestTransfer: transfer.on_request,
}

_EVENT_HANDLERS = {
    events.AddLearner: membership.add_learner,
    events.Probe: probe.probe,
    events.Promote: membership.promote,
    events.Propose: replication.propose,
    events.ReadRequest: reads.request,
    events.Received: _on_received,
    events.Remove: membership.remove,
    events.Replace: membership.replace,
    events.Restore: membership.restore,
    events.Saved: _on_saved,
    events.SnapshotTaken: snapshots.on_snapshot_taken,
    events.Tick: _on_tick,
    events.Transfer: lambda node, event, now: transfer.start(node, event.name, now),
}


def is_leader(node: Node) -> bool:
    """Return whether the node considers itself leader; only a confirmed read proves it."""
    return node.role == state.Role.LEADER


def leader(node: Node) -> str:
    """Return the name of the leader, or an empty string if it is unknown."""
    return node.leader


def non_members(node: Node) -> dict[str, str]:
    """Return the incarnations, by name, of non-members that recently replied to this leader."""
    return membership.recent_non_members(node)


def membership_plan(
    node: Node,
    min_voters: int | None,
    now: float,
    heard_s: collections.abc.Mapping[str, float],
    knows_joint: collections.abc.Mapping[str, bool],
) -> replacement.Plan:
    """Return the membership changes to request now; see ``replacement.make_plan``."""
    return replacement.make_plan(node, min_voters, now, heard_s, knows_joint)


def snapshot_metadata(node: Node, index: int) -> tuple[int, messages.Membership]:
    """Return the term and membership at a committed index, to store with a snapshot."""
    return node.log.term_at(index), membership.in_effect_at(node, index)
