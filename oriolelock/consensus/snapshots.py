"""
oriolelock.consensus.snapshots
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Log compaction, and sending snapshots to replicas whose next entry was compacted.
"""

from oriolelock.consensus import (
    follower,
    membership,
    messages,
    outputs,
    persistence,
    replication,
    state,
)

__all__ = [
    "CHUNK_BYTES",
    "RETAINED_BYTES",
    "RETAINED_ENTRIES",
    "on_install",
    "on_install_reply",
    "on_snapshot_taken",
    "send_chunk",
    "start_sending",
]

CHUNK_BYTES = 256 * 1024
# Retained before a snapshot, so that a slightly lagging follower does not need one.
RETAINED_ENTRIES = 1000
RETAINED_BYTES = 1024 * 1024


def on_snapshot_taken(node: state.Node, event, now: float) -> None:
    """Compact the log after a snapshot has been stored."""
    if event.index <= node.snapshot.index or event.index > node.commit_index:
        return
    node.snapshot = state.Snapshot(
        event.index,
        node.log.term_at(event.index),
        membership.in_effect_at(node, event.index),
        event.data,
    )
    node.log.compact(node.log.retained_base(event.index, RETAINED_ENTRIES, RETAINED_BYTES))
    _drop_old_memberships(node)


def _drop_old_memberships(node):
    while len(node.memberships) > 1 and node.memberships[1][0] <= node.log.base_index:
        node.memberships.pop(0)


def start_sending(node: state.Node, name: str) -> None:
    """Start sending the latest snapshot to a replica, unless one is being sent already."""
    progress = node.progress[name]
    if progress.snapshot is None:
        progress.snapshot, progress.snapshot_offset = node.snapshot, 0
        progress.in_flight.clear()
        send_chunk(node, name)


def send_chunk(node: state.Node, name: str) -> None:
    """Send the next chunk; it is resent with each heartbeat until the replica replies."""
    progress = node.progress[name]
    snapshot, offset = progress.snapshot, progress.snapshot_offset
    data = snapshot.data[offset : offset + CHUNK_BYTES]
    done = offset + len(data) == len(snapshot.data)
    msg = messages.InstallSnapshot(
        node.term, snapshot.index, snapshot.term, snapshot.membership, offset, data, done
    )
    persistence.send(node, name, msg)


def on_install_reply(node: state.Node, event, now: float) -> None:
    """Continue with the next chunk, or with the log entries after the snapshot."""
    msg = event.msg
    progress = node.progress[event.sender]
    progress.last_contact_s, progress.has_replied = now, True
    if msg.done:
        replication.update_match_index(node, event.sender, msg.last_index)
        replication.send_entries(node, event.sender)
    elif progress.snapshot and progress.snapshot.index == msg.last_index:
        advanced = msg.next_offset != progress.snapshot_offset
        progress.snapshot_offset = min(msg.next_offset, len(progress.snapshot.data))
        if advanced:
            send_chunk(node, event.sender)


def on_install(node: state.Node, event, now: float) -> None:
    """Assemble the chunks and install the complete snapshot."""
    msg = event.msg
    if not follower.accept_leader(node, event, now):
        reply = messages.InstallSnapshotReply(node.term, msg.last_index, 0, False)
        persistence.send_when_saved(node, event.sender, reply)
        return
    if msg.last_index <= node.commit_index:
        reply = messages.InstallSnapshotReply(node.term, msg.last_index, 0, True)
        persistence.send_when_saved(node, event.sender, reply)
        return
    # A snapshot from another leader at the same index may be encoded differently.
    snapshot_id = (msg.term, msg.last_index, msg.last_term)
    if node.incoming_snapshot_id != snapshot_id:
        node.incoming_snapshot_id, node.incoming_snapshot_data = snapshot_id, bytearray()
    if msg.offset == len(node.incoming_snapshot_data):
        node.incoming_snapshot_data += msg.data
        if msg.done:
            _restore(node, msg)
    reply = messages.InstallSnapshotReply(
        node.term,
        msg.last_index,
        len(node.incoming_snapshot_data),
        node.commit_index >= msg.last_index,
    )
    persistence.send_when_saved(node, event.sender, reply)


def _restore(node, msg):
    data = bytes(node.incoming_snapshot_data)
    node.incoming_snapshot_id, node.incoming_snapshot_data = (0, 0, 0), bytearray()
    node.snapshot = state.Snapshot(msg.last_index, msg.last_term, msg.membership, data)
    node.pending_outputs.append(
        outputs.RestoreSnapshot(msg.last_index, msg.last_term, msg.membership, data)
    )
    log_kept = node.log.term_at(msg.last_index) == msg.last_term
    if log_kept:
        later_memberships = [change for change in node.memberships if change[0] > msg.last_index]
        node.log.compact(msg.last_index)
    else:
        later_memberships = []
        node.log.reset(msg.last_index, msg.last_term)
    node.memberships = [(msg.last_index, msg.membership), *later_memberships]
    node.commit_index = msg.last_index
    persistence.mark_snapshot_restored(node, msg.last_index, log_kept)
