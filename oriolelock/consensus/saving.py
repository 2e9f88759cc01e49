"""
oriolelock.consensus.saving
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What must be on the disk before a message may leave.

    Each step ends in at most one ``Save``. Replies and vote requests that depend on it wait
    in ``Node.held``.
"""

from oriolelock.consensus import messages, outputs, state

__all__ = [
    "append",
    "flush",
    "send",
    "send_when_saved",
    "set_term",
    "snapshot_restored",
    "truncate",
    "vote_for",
    "when_saved",
]


def set_term(node: state.Node, term: int) -> None:
    """Enter a later term, without a vote yet."""
    node.term, node.voted_for, node.state_changed = term, "", True


def vote_for(node: state.Node, identity: str) -> None:
    """Record the vote of this term."""
    node.voted_for, node.state_changed = identity, True


def append(node: state.Node, entry: messages.Entry) -> None:
    """Append an entry to the log and mark it as not saved."""
    node.log.append(entry)
    if not node.unsaved_from:
        node.unsaved_from = entry.index


def truncate(node: state.Node, first: int) -> None:
    """Remove the entries from ``first`` on, in memory and with the next save."""
    if first <= node.commit:
        raise ValueError(f"entry {first} is committed (up to {node.commit})")
    node.log.truncate(first)
    node.truncate_from = min(first, node.truncate_from or first)
    if node.unsaved_from >= first:
        node.unsaved_from = 0
    _lower_durable(node, first - 1)
    while node.memberships[-1][0] >= first:
        node.memberships.pop()


def _lower_durable(node, last_index):
    node.durable_index = min(node.durable_index, last_index)
    for point in node.saves:
        point.last_index = min(point.last_index, last_index)


def snapshot_restored(node: state.Node, index: int, log_kept: bool) -> None:
    """Mark a received snapshot; the save that follows it reports it durable."""
    node.state_changed = True
    if log_kept:
        if node.unsaved_from:
            node.unsaved_from = min(max(node.unsaved_from, index + 1), node.log.last_index + 1)
        return
    node.truncate_from, node.unsaved_from = index + 1, 0
    _lower_durable(node, index)


def send(node: state.Node, target: str, msg: object) -> None:
    """Send a message that does not depend on an unfinished save."""
    node.out.append(outputs.Send(target, msg))


def send_when_saved(node: state.Node, target: str, msg: object) -> None:
    """Send a message once everything changed so far is durable."""
    number = node.save_number + 1 if _is_dirty(node) else node.save_number
    if number <= node.saved_number:
        send(node, target, msg)
    else:
        node.held.append((number, outputs.Send(target, msg)))


def _is_dirty(node):
    return bool(node.state_changed or node.unsaved_from or node.truncate_from)


def flush(node: state.Node) -> None:
    """Emit the ``Save`` for what the step has changed, if anything."""
    if not _is_dirty(node):
        return
    node.save_number += 1
    entries = ()
    if node.unsaved_from:
        entries = node.log.between(node.unsaved_from, node.log.last_index)
    node.saves.append(state.SavePoint(node.save_number, node.term, node.log.last_index))
    node.out.append(
        outputs.Save(node.save_number, node.term, node.voted_for, node.truncate_from, entries)
    )
    node.unsaved_from, node.truncate_from, node.state_changed = 0, 0, False


def when_saved(node: state.Node, number: int) -> None:
    """Note that a save is durable and release what waited for it."""
    node.saved_number = max(node.saved_number, number)
    while node.saves and node.saves[0].number <= number:
        point = node.saves.pop(0)
        node.durable_term = point.term
        node.durable_index = max(node.durable_index, point.last_index)
    waiting, node.held = node.held, []
    for needed, item in waiting:
        if needed > node.saved_number:
            node.held.append((needed, item))
        elif item.msg.term >= node.term:
            # A reply of an earlier term is void: what it acknowledges may be truncated since.
            node.out.append(item)
