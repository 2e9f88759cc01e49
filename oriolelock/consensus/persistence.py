"""
oriolelock.consensus.persistence
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Persistent state, and messages that must not be sent before it is durable.

    Each step emits at most one ``Save``. Replies and vote requests that depend on it are queued
    in ``Node.pending_sends``.
"""

from oriolelock.consensus import messages, outputs, state

__all__ = [
    "append",
    "emit_save",
    "mark_snapshot_restored",
    "on_saved",
    "send",
    "send_when_saved",
    "set_term",
    "truncate",
    "vote_for",
]


def set_term(node: state.Node, term: int) -> None:
    """Enter a later term and clear the vote."""
    node.term, node.voted_for, node.state_changed = term, "", True


def vote_for(node: state.Node, identity: str) -> None:
    """Record the vote for the current term."""
    node.voted_for, node.state_changed = identity, True


def append(node: state.Node, entry: messages.Entry) -> None:
    """Append an entry to the log and mark it as unsaved."""
    node.log.append(entry)
    if not node.first_unsaved_index:
        node.first_unsaved_index = entry.index


def truncate(node: state.Node, first_index: int) -> None:
    """Remove the entries from ``first_index`` on, in memory and with the next ``Save``."""
    if first_index <= node.commit_index:
        raise ValueError(
            f"cannot remove committed entry {first_index}, commit index {node.commit_index}"
        )
    node.log.truncate(first_index)
    node.truncate_from = min(first_index, node.truncate_from or first_index)
    if node.first_unsaved_index >= first_index:
        node.first_unsaved_index = 0
    _lower_durable_index(node, first_index - 1)
    while node.memberships[-1][0] >= first_index:
        node.memberships.pop()


def _lower_durable_index(node, last_index):
    node.durable_index = min(node.durable_index, last_index)
    for pending_save in node.pending_saves:
        pending_save.last_index = min(pending_save.last_index, last_index)


def mark_snapshot_restored(node: state.Node, index: int, log_kept: bool) -> None:
    """Mark the state as changed by a received snapshot, so that a ``Save`` confirms it."""
    node.state_changed = True
    if log_kept:
        if node.first_unsaved_index:
            node.first_unsaved_index = min(
                max(node.first_unsaved_index, index + 1), node.log.last_index + 1
            )
        return
    node.truncate_from, node.first_unsaved_index = index + 1, 0
    _lower_durable_index(node, index)


def send(node: state.Node, target: str, msg: object) -> None:
    """Send a message immediately; it must not depend on unsaved changes."""
    node.pending_outputs.append(outputs.Send(target, msg))


def send_when_saved(node: state.Node, target: str, msg: object) -> None:
    """Send a message once all changes so far are durable."""
    required_number = node.save_number + 1 if _has_unsaved_changes(node) else node.save_number
    if required_number <= node.last_saved_number:
        send(node, target, msg)
    else:
        node.pending_sends.append((required_number, outputs.Send(target, msg)))


def _has_unsaved_changes(node):
    return bool(node.state_changed or node.first_unsaved_index or node.truncate_from)


def emit_save(node: state.Node) -> None:
    """Emit a ``Save`` for the changes of this step, if there are any."""
    if not _has_unsaved_changes(node):
        return
    node.save_number += 1
    entries = ()
    if node.first_unsaved_index:
        entries = node.log.between(node.first_unsaved_index, node.log.last_index)
    node.pending_saves.append(state.PendingSave(node.save_number, node.term, node.log.last_index))
    node.pending_outputs.append(
        outputs.Save(node.save_number, node.term, node.voted_for, node.truncate_from, entries)
    )
    node.first_unsaved_index, node.truncate_from, node.state_changed = 0, 0, False


def on_saved(node: state.Node, number: int) -> None:
    """Record that a ``Save`` is durable and send the messages that waited for it."""
    node.last_saved_number = max(node.last_saved_number, number)
    while node.pending_saves and node.pending_saves[0].number <= number:
        pending_save = node.pending_saves.pop(0)
        node.durable_term = pending_save.term
        node.durable_index = max(node.durable_index, pending_save.last_index)
    delayed, node.pending_sends = node.pending_sends, []
    for required_number, send_output in delayed:
        if required_number > node.last_saved_number:
            node.pending_sends.append((required_number, send_output))
        elif send_output.msg.term >= node.term:
            # Replies of an earlier term are dropped, because the entries that they acknowledge may
            # have been truncated since.
            node.pending_outputs.append(send_output)
