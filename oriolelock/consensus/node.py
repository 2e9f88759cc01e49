"""
oriolelock.consensus.node
~~~~~~~~~~~~~~~~~~~~~~~~~

    One replica of a replicated log, as a state machine without I/O.

    After Raft: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
    (2014), and Ongaro's dissertation (2014). Outputs are to be carried out in order.
"""

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
    quorum,
    reads,
    replication,
    saving,
    snapshots,
    state,
    stored,
    transfer,
)
from oriolelock.wire import codec

__all__ = [
    "Node",
    "caught_up_learners",
    "is_leader",
    "leader",
    "make",
    "removable",
    "snapshot_position",
    "step",
    "unadmitted",
]

Node = state.Node


def make(
    cfg: node_settings.NodeSettings, stored: stored.Stored, now: float, rng: random.Random
) -> Node:
    """Return a node that starts as follower from what its disk holds.

    The state machine starts from ``stored.snapshot``; later entries follow as ``Commit``.
    """
    memberships = [(stored.snapshot_index, stored.membership)]
    for entry in stored.entries:
        if entry.kind == "membership":
            memberships.append((entry.index, codec.decode(entry.data)))
    held = log.Log(stored.snapshot_index, stored.snapshot_term, stored.entries)
    node = Node(
        cfg=cfg,
        rng=rng,
        term=stored.term,
        voted_for=stored.voted_for,
        log=held,
        snapshot=state.Snapshot(
            stored.snapshot_index, stored.snapshot_term, stored.membership, stored.snapshot
        ),
        memberships=memberships,
        commit=stored.snapshot_index,
        durable_index=held.last_index,
        durable_term=stored.term,
    )
    election.reset_first_timer(node, now)
    return node


def step(node: Node, event: events.Event, now: float) -> list[outputs.Output]:
    """Handle one event at ``now`` and return what is to be done.

    Raises ValueError when the protocol's guarantees are broken, such as two leaders of a term.
    """
    election.step_down_if_cut_off(node, now)
    _HANDLERS[type(event)](node, event, now)
    reads.start_round(node, now)
    _announce(node)
    saving.flush(node)
    result, node.out = node.out, []
    return result


def _announce(node):
    current = (node.leader, node.term, node.role == state.Role.LEADER)
    if current != node.announced:
        node.announced = current
        node.out.append(outputs.LeaderChanged(*current))


def _on_tick(node, event, now):
    election.tick(node, now)
    replication.tick(node, now)
    transfer.ask_if_preferred(node, now)


def _on_saved(node, event, now):
    saving.when_saved(node, event.number)
    if node.role == state.Role.CANDIDATE:
        election.tally(node, now)
    replication.advance_commit(node)


def _on_received(node, event, now):
    if type(event.msg) in _LEADER_MESSAGES:
        _on_leader_message(node, event, now)
    else:
        _MESSAGES[type(event.msg)](node, event, now)


def _on_leader_message(node, event, now):
    """Pass on what is meant for a leader, if its sender belongs to the group.

    A replica with a new disk answers under its old name; it must not count as the old one.
    """
    if not quorum.is_member(node.membership, event.sender, event.incarnation):
        if node.role == state.Role.LEADER:
            node.unadmitted[event.sender] = (event.incarnation, now)
        return
    if event.msg.term > node.term:
        election.become_follower(node, event.msg.term, "", now)
    elif node.role == state.Role.LEADER and event.msg.term == node.term:
        _LEADER_MESSAGES[type(event.msg)](node, event, now)


_MESSAGES = {
    messages.Append: follower.on_append,
    messages.InstallSnapshot: snapshots.on_install,
    messages.PreVote: election.on_pre_vote,
    messages.PreVoteReply: election.on_pre_vote_reply,
    messages.TimeoutNow: election.on_timeout_now,
    messages.Vote: election.on_vote,
    messages.VoteReply: election.on_vote_reply,
}

_LEADER_MESSAGES = {
    messages.AppendReply: replication.on_append_reply,
    messages.InstallSnapshotReply: snapshots.on_install_reply,
    messages.RequestTransfer: transfer.on_request,
}

_HANDLERS = {
    events.AddLearner: membership.add_learner,
    events.Promote: membership.promote,
    events.Propose: replication.propose,
    events.ReadRequest: reads.request,
    events.Received: _on_received,
    events.Remove: membership.remove,
    events.Saved: _on_saved,
    events.SnapshotTaken: snapshots.taken,
    events.Tick: _on_tick,
    events.Transfer: lambda node, event, now: transfer.begin(node, event.name, now),
}


def is_leader(node: Node) -> bool:
    """Return whether the node believes to lead; only a confirmed read proves it."""
    return node.role == state.Role.LEADER


def leader(node: Node) -> str:
    """Return the name of the leader as far as known, else an empty string."""
    return node.leader


def unadmitted(node: Node) -> dict[str, str]:
    """Return name and incarnation of replicas that answer the leader without being members."""
    since_s = node.round_sent_s - node.cfg.election_max_s
    return {name: item for name, (item, seen_s) in node.unadmitted.items() if seen_s >= since_s}


def caught_up_learners(node: Node, now: float) -> list[str]:
    """Return the names of the learners that a leader could promote."""
    if node.role != state.Role.LEADER:
        return []
    return [
        item.name
        for item in node.membership.replicas
        if not item.voter and membership.is_caught_up(node, item.name, now)
    ]


def removable(node: Node, min_voters: int, now: float) -> list[str]:
    """Return the names of replicas that a leader should remove; see ``membership``."""
    if node.role != state.Role.LEADER:
        return []
    return membership.removable(node, min_voters, now)


def snapshot_position(node: Node, index: int) -> tuple[int, messages.Membership]:
    """Return term and membership at a committed index, to store with a snapshot taken there."""
    return node.log.term_at(index), membership.at(node, index)
