"""
oriolelock.consensus.replication
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The leader's side of the log: sending entries and deciding what is committed.
"""

from oriolelock.consensus import (
    membership,
    messages,
    outputs,
    quorum,
    reads,
    saving,
    snapshots,
    state,
    transfer,
)

__all__ = [
    "MAX_IN_FLIGHT",
    "MAX_MESSAGE_BYTES",
    "MAX_UNCOMMITTED_ENTRIES",
    "advance_commit",
    "become_leader",
    "broadcast_round",
    "contact_s",
    "emit_committed",
    "on_append_reply",
    "propose",
    "send_entries",
    "tick",
]

MAX_MESSAGE_BYTES = 256 * 1024
# Unanswered messages with entries per replica; bounds what a slow replica makes the leader send.
MAX_IN_FLIGHT = 8
# A leader whose disk is full or whose followers are slow refuses proposals beyond this.
MAX_UNCOMMITTED_ENTRIES = 10_000


def become_leader(node: state.Node, now: float) -> None:
    """Lead the term: append an entry of it, so that earlier ones can be committed."""
    node.role, node.leader = state.Role.LEADER, node.cfg.name
    node.round = node.confirmed_round = 0
    node.progress = {}
    membership.refresh_progress(node, now)
    append_own(node, "noop", b"")
    broadcast_round(node, now)


def append_own(node: state.Node, kind: str, data: bytes) -> messages.Entry:
    """Append an entry of the leader's own term."""
    entry = messages.Entry(node.log.last_index + 1, node.term, kind, data)
    saving.append(node, entry)
    return entry


def propose(node: state.Node, event, now: float) -> None:
    """Append a command and send it on."""
    reason = ""
    if node.role != state.Role.LEADER:
        reason = "not-leader"
    elif node.transfer_to:
        reason = "transferring"
    elif node.log.last_index - node.commit >= MAX_UNCOMMITTED_ENTRIES:
        reason = "overloaded"
    if reason:
        node.out.append(outputs.Rejected(event.request_id, node.leader, reason))
        return
    entry = append_own(node, "command", event.data)
    node.out.append(outputs.Proposed(event.request_id, entry.index, entry.term))
    send_to_all(node)


def send_to_all(node: state.Node) -> None:
    """Send new entries to each replica whose window is open."""
    for name in node.progress:
        send_entries(node, name)


def send_entries(node: state.Node, name: str) -> None:
    """Send the entries that the replica lacks, in messages of bounded size."""
    item = node.progress[name]
    while item.next_index <= node.log.last_index and len(item.in_flight) < MAX_IN_FLIGHT:
        if item.snapshot or node.log.term_at(item.next_index - 1) is None:
            snapshots.begin(node, name)
            return
        entries = node.log.batch(item.next_index, MAX_MESSAGE_BYTES)
        _send_append(node, name, entries)
        item.next_index = entries[-1].index + 1
        item.in_flight.append(entries[-1].index)


def _send_append(node, name, entries):
    item = node.progress[name]
    prev_index = item.snapshot.index if item.snapshot else item.next_index - 1
    prev_term = item.snapshot.term if item.snapshot else node.log.term_at(prev_index)
    msg = messages.Append(node.term, prev_index, prev_term, node.commit, node.round, entries)
    saving.send(node, name, msg)


def broadcast_round(node: state.Node, now: float) -> None:
    """Start a round of heartbeats."""
    node.round += 1
    node.round_sent_s = now
    for name, item in node.progress.items():
        if item.snapshot is None and node.log.term_at(item.next_index - 1) is None:
            snapshots.begin(node, name)
        elif item.snapshot:
            snapshots.send_chunk(node, name)
        # Sent during a snapshot as well: its refusal still confirms the round.
        _send_append(node, name, ())
    reads.confirm(node)


def tick(node: state.Node, now: float) -> None:
    """Send heartbeats when they are due."""
    if node.role != state.Role.LEADER:
        return
    if now - node.round_sent_s >= node.cfg.heartbeat_s:
        broadcast_round(node, now)
        send_to_all(node)
    transfer.tick(node, now)


def contact_s(node: state.Node, replica: messages.Replica, now: float) -> float:
    """Return when the leader last heard of a replica of its membership."""
    if replica.name == node.cfg.name:
        return now
    return node.progress[replica.name].contact_s


def on_append_reply(node: state.Node, event, now: float) -> None:
    """Note what the replica holds, or go back to where its log agrees."""
    msg = event.msg
    item = node.progress[event.sender]
    item.contact_s = now
    item.acked_round = max(item.acked_round, min(msg.round, node.round))
    if msg.success:
        note_match(node, event.sender, msg.match_index)
    elif item.snapshot is None:
        back = max(item.match_index, min(msg.match_index, item.next_index - 2))
        item.next_index = back + 1
        item.in_flight.clear()
    reads.confirm(node)
    send_entries(node, event.sender)
    transfer.advance(node)


def note_match(node: state.Node, name: str, match_index: int) -> None:
    """Record that a replica durably holds the log up to ``match_index``."""
    item = node.progress[name]
    item.match_index = max(item.match_index, match_index)
    item.next_index = max(item.next_index, item.match_index + 1)
    while item.in_flight and item.in_flight[0] <= item.match_index:
        item.in_flight.popleft()
    if item.snapshot and item.match_index >= item.snapshot.index:
        item.snapshot, item.snapshot_offset = None, 0
    advance_commit(node)


def advance_commit(node: state.Node) -> None:
    """Commit what a majority of the voters holds, if it is of the leader's own term.

    An entry of an earlier term can still be overwritten although a majority holds it (Ongaro
    and Ousterhout, 2014, section 5.4.2), so it is committed only along with a later one.
    """
    if node.role != state.Role.LEADER:
        return

    def match_of(replica):
        if replica.name == node.cfg.name:
            return node.durable_index
        return node.progress[replica.name].match_index

    index = quorum.majority_value(node.membership, match_of)
    if index > node.commit and node.log.term_at(index) == node.term:
        emit_committed(node, index)
        reads.confirm(node)


def emit_committed(node: state.Node, index: int) -> None:
    """Move the commit index forward and hand the entries over."""
    if index > node.commit:
        node.out.append(outputs.Commit(node.log.between(node.commit + 1, index)))
        node.commit = index
