"""
oriolelock.consensus.replication
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Log replication on the leader: sending entries and advancing the commit index.
"""

from oriolelock.consensus import (
    membership,
    messages,
    outputs,
    persistence,
    quorum,
    reads,
    snapshots,
    state,
    transfer,
)

__all__ = [
    "MAX_IN_FLIGHT",
    "MAX_MESSAGE_BYTES",
    "MAX_UNCOMMITTED_BYTES",
    "MAX_UNCOMMITTED_ENTRIES",
    "advance_commit",
    "become_leader",
    "broadcast_heartbeat",
    "commit_up_to",
    "last_contact_s",
    "on_append_reply",
    "propose",
    "send_entries",
    "tick",
]

MAX_MESSAGE_BYTES = 256 * 1024
# Unacknowledged messages with entries per replica; limits the data sent to a slow replica.
MAX_IN_FLIGHT = 8
# Proposals are rejected above these limits, e.g. if the disk is full or the followers are slow.
MAX_UNCOMMITTED_ENTRIES = 10_000
MAX_UNCOMMITTED_BYTES = 16 * 1024 * 1024


def become_leader(node: state.Node, now: float) -> None:
    """Become leader and append a no-op entry, so that entries of earlier terms can be committed."""
    node.role, node.leader = state.Role.LEADER, node.cfg.name
    node.heartbeat_round = node.confirmed_round = 0
    node.progress = {}
    membership.refresh_progress(node, now)
    append_as_leader(node, "noop", b"")
    broadcast_heartbeat(node, now)


def append_as_leader(node: state.Node, kind: str, data: bytes) -> messages.Entry:
    """Append an entry of the current term to the log of the leader."""
    entry = messages.Entry(node.log.last_index + 1, node.term, kind, data)
    persistence.append(node, entry)
    return entry


def propose(node: state.Node, event, now: float) -> None:
    """Append a command to the log and replicate it, or reject it."""
    reason = ""
    if node.role != state.Role.LEADER:
        reason = "not-leader"
    elif node.transfer_target:
        reason = "transferring"
    elif _is_overloaded(node):
        reason = "overloaded"
    if reason:
        node.pending_outputs.append(outputs.Rejected(event.request_id, node.leader, reason))
        return
    entry = append_as_leader(node, "command", event.data)
    node.pending_outputs.append(outputs.Proposed(event.request_id, entry.index, entry.term))
    send_to_all(node)


def _is_overloaded(node):
    count = node.log.last_index - node.commit_index
    size = node.log.bytes_after(node.commit_index)
    return count >= MAX_UNCOMMITTED_ENTRIES or size >= MAX_UNCOMMITTED_BYTES


def send_to_all(node: state.Node) -> None:
    """Send new entries to each replica with fewer than ``MAX_IN_FLIGHT`` messages in flight."""
    for name in node.progress:
        send_entries(node, name)


def send_entries(node: state.Node, name: str) -> None:
    """Send missing entries to a replica, in messages of up to ``MAX_MESSAGE_BYTES``."""
    progress = node.progress[name]
    while progress.next_index <= node.log.last_index and len(progress.in_flight) < MAX_IN_FLIGHT:
        if progress.snapshot or node.log.term_at(progress.next_index - 1) is None:
            snapshots.start_sending(node, name)
            return
        entries = node.log.batch(progress.next_index, MAX_MESSAGE_BYTES)
        _send_append(node, name, entries)
        progress.next_index = entries[-1].index + 1
        progress.in_flight.append(entries[-1].index)


def _send_append(node, name, entries):
    progress = node.progress[name]
    prev_index = progress.snapshot.index if progress.snapshot else progress.next_index - 1
    prev_term = progress.snapshot.term if progress.snapshot else node.log.term_at(prev_index)
    msg = messages.Append(
        node.term, prev_index, prev_term, node.commit_index, node.heartbeat_round, entries
    )
    persistence.send(node, name, msg)


def broadcast_heartbeat(node: state.Node, now: float) -> None:
    """Start a new heartbeat round."""
    node.heartbeat_round += 1
    node.heartbeat_sent_s = now
    for name, progress in node.progress.items():
        if progress.snapshot is None and node.log.term_at(progress.next_index - 1) is None:
            snapshots.start_sending(node, name)
        elif progress.snapshot:
            snapshots.send_chunk(node, name)
        # Also sent during a snapshot transfer: even a failure reply confirms the round.
        _send_append(node, name, ())
    reads.complete_confirmed(node)


def tick(node: state.Node, now: float) -> None:
    """Send heartbeats if they are due."""
    if node.role != state.Role.LEADER:
        return
    if now - node.heartbeat_sent_s >= node.cfg.heartbeat_s:
        broadcast_heartbeat(node, now)
        send_to_all(node)
    transfer.tick(node, now)


def last_contact_s(node: state.Node, replica: messages.Replica, now: float) -> float:
    """Return the time in seconds of the last reply from a member."""
    if replica.name == node.cfg.name:
        return now
    return node.progress[replica.name].last_contact_s


def on_append_reply(node: state.Node, event, now: float) -> None:
    """Update the match index of a replica, or back up to where its log may match."""
    msg = event.msg
    progress = node.progress[event.sender]
    progress.last_contact_s, progress.has_replied = now, True
    progress.acked_round = max(progress.acked_round, min(msg.round, node.heartbeat_round))
    if msg.success:
        update_match_index(node, event.sender, msg.match_index)
    elif progress.snapshot is None:
        match_index = max(progress.match_index, min(msg.match_index, progress.next_index - 2))
        progress.next_index = match_index + 1
        progress.in_flight.clear()
    reads.complete_confirmed(node)
    send_entries(node, event.sender)
    transfer.complete_if_ready(node)


def update_match_index(node: state.Node, name: str, match_index: int) -> None:
    """Record that the log of a replica is durable up to ``match_index``."""
    progress = node.progress[name]
    progress.match_index = max(progress.match_index, match_index)
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    while progress.in_flight and progress.in_flight[0] <= progress.match_index:
        progress.in_flight.popleft()
    if progress.snapshot and progress.match_index >= progress.snapshot.index:
        progress.snapshot, progress.snapshot_offset = None, 0
    advance_commit(node)


def advance_commit(node: state.Node) -> None:
    """Commit the entries that a majority of voters has stored, up to one of the current term.

    An entry of an earlier term can still be overwritten when a majority has stored it (Ongaro
    and Ousterhout, 2014, section 5.4.2), so it is committed only together with a later one.
    """
    if node.role != state.Role.LEADER:
        return

    def match_index_of(replica):
        if replica.name == node.cfg.name:
            return node.durable_index
        return node.progress[replica.name].match_index

    index = quorum.majority_value(node.membership, match_index_of)
    if index > node.commit_index and node.log.term_at(index) == node.term:
        commit_up_to(node, index)
        reads.complete_confirmed(node)


def commit_up_to(node: state.Node, index: int) -> None:
    """Advance the commit index and emit the newly committed entries."""
    if index > node.commit_index:
        node.pending_outputs.append(outputs.Commit(node.log.between(node.commit_index + 1, index)))
        node.commit_index = index
