"""
oriolelock.consensus.snapshots
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Snapshots: cutting the log, and bringing a replica up to date that needs more than the log.
"""

from oriolelock.consensus import follower, membership, messages, outputs, replication, saving, state

__all__ = [
    "CHUNK_BYTES",
    "KEPT_ENTRIES",
    "begin",
    "on_install",
    "on_install_reply",
    "send_chunk",
    "taken",
]

CHUNK_BYTES = 256 * 1024
# Entries kept before a snapshot, so that a follower that is a little behind needs no snapshot.
KEPT_ENTRIES = 1000


def taken(node: state.Node, event, now: float) -> None:
    """Cut the log after the state machine's state has been stored."""
    if event.index <= node.snapshot.index or event.index > node.commit:
        return
    node.snapshot = state.Snapshot(
        event.index, node.log.term_at(event.index), membership.at(node, event.index), event.data
    )
    node.log.compact(event.index - KEPT_ENTRIES)
    _drop_old_memberships(node)


def _drop_old_memberships(node):
    while len(node.memberships) > 1 and node.memberships[1][0] <= node.log.base_index:
        node.memberships.pop(0)


def begin(node: state.Node, name: str) -> None:
    """Start to send the snapshot to a replica, unless that is under way."""
    item = node.progress[name]
    if item.snapshot is None:
        item.snapshot, item.snapshot_offset = node.snapshot, 0
        item.in_flight.clear()
        send_chunk(node, name)


def send_chunk(node: state.Node, name: str) -> None:
    """Send the next chunk; sent again with each heartbeat until it is answered."""
    item = node.progress[name]
    snapshot, offset = item.snapshot, item.snapshot_offset
    data = snapshot.data[offset : offset + CHUNK_BYTES]
    done = offset + len(data) == len(snapshot.data)
    msg = messages.InstallSnapshot(
        node.term, snapshot.index, snapshot.term, snapshot.membership, offset, data, done
    )
    saving.send(node, name, msg)


def on_install_reply(node: state.Node, event, now: float) -> None:
    """Go on with the next chunk, or with the log after the snapshot."""
    msg = event.msg
    item = node.progress[event.sender]
    item.contact_s = now
    if msg.done:
        replication.note_match(node, event.sender, msg.last_index)
        replication.send_entries(node, event.sender)
    elif item.snapshot and item.snapshot.index == msg.last_index:
        moved = msg.next_offset != item.snapshot_offset
        item.snapshot_offset = min(msg.next_offset, len(item.snapshot.data))
        if moved:
            send_chunk(node, event.sender)


def on_install(node: state.Node, event, now: float) -> None:
    """Collect the chunks and put the complete snapshot into use."""
    msg = event.msg
    if not follower.heard_leader(node, event, now):
        reply = messages.InstallSnapshotReply(node.term, msg.last_index, 0, False)
        saving.send_when_saved(node, event.sender, reply)
        return
    if msg.last_index <= node.commit:
        reply = messages.InstallSnapshotReply(node.term, msg.last_index, 0, True)
        saving.send_when_saved(node, event.sender, reply)
        return
    # Another leader's snapshot of the same index may be encoded in other bytes.
    key = (msg.term, msg.last_index, msg.last_term)
    if node.incoming != key:
        node.incoming, node.incoming_data = key, bytearray()
    if msg.offset == len(node.incoming_data):
        node.incoming_data += msg.data
        if msg.done:
            _restore(node, msg)
    reply = messages.InstallSnapshotReply(
        node.term, msg.last_index, len(node.incoming_data), node.commit >= msg.last_index
    )
    saving.send_when_saved(node, event.sender, reply)


def _restore(node, msg):
    data = bytes(node.incoming_data)
    node.incoming, node.incoming_data = (0, 0, 0), bytearray()
    node.snapshot = state.Snapshot(msg.last_index, msg.last_term, msg.membership, data)
    node.out.append(outputs.RestoreSnapshot(msg.last_index, msg.last_term, msg.membership, data))
    log_kept = node.log.term_at(msg.last_index) == msg.last_term
    if log_kept:
        later = [item for item in node.memberships if item[0] > msg.last_index]
        node.log.compact(msg.last_index)
    else:
        later = []
        node.log.reset(msg.last_index, msg.last_term)
    node.memberships = [(msg.last_index, msg.membership), *later]
    node.commit = msg.last_index
    saving.snapshot_restored(node, msg.last_index, log_kept)
