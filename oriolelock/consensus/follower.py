"""
oriolelock.consensus.follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The follower's side of the log.
"""

from oriolelock.consensus import election, membership, messages, replication, saving, state

__all__ = ["heard_leader", "on_append"]


def heard_leader(node: state.Node, event, now: float) -> bool:
    """Follow the sender if its term is current; returns whether it is."""
    if event.msg.term < node.term:
        return False
    if node.role == state.Role.LEADER and event.msg.term == node.term:
        raise ValueError(f"two leaders in term {node.term}: {event.sender} and {node.cfg.name}")
    election.become_follower(node, event.msg.term, event.sender, now)
    node.leader_contact_s = now
    election.reset_timer(node, now)
    return True


def on_append(node: state.Node, event, now: float) -> None:
    """Append entries that follow an entry held here; refuse them otherwise."""
    msg = event.msg
    if not heard_leader(node, event, now):
        reply = messages.AppendReply(node.term, False, node.log.last_index, msg.round)
        saving.send_when_saved(node, event.sender, reply)
        return
    if msg.prev_index > node.log.base_index and node.log.term_at(msg.prev_index) != msg.prev_term:
        reply = messages.AppendReply(node.term, False, _back_up(node, msg.prev_index), msg.round)
        _reply_when_term_saved(node, event.sender, reply)
        return
    for entry in msg.entries:
        _accept(node, entry)
    agreed = msg.prev_index + len(msg.entries)
    replication.emit_committed(node, min(msg.commit, agreed))
    _acknowledge(node, event.sender, agreed, msg.round)


def _back_up(node, prev_index):
    """Return where the leader should try next: before the whole conflicting term."""
    if prev_index > node.log.last_index:
        return node.log.last_index
    return max(node.commit, node.log.first_of_term(prev_index) - 1)


def _accept(node, entry):
    if entry.index <= node.log.base_index:
        return
    term = node.log.term_at(entry.index)
    if term == entry.term:
        return
    if term is not None:
        saving.truncate(node, entry.index)
    saving.append(node, entry)
    if entry.kind == "membership":
        membership.note(node, entry)


def _acknowledge(node, leader, agreed, round_number):
    """Acknowledge what is durable at once, the rest once it is.

    A follower whose disk is full still answers heartbeats, so that reads can be confirmed.
    """
    durable = min(agreed, node.durable_index)
    if durable < agreed:
        later = messages.AppendReply(node.term, True, agreed, round_number)
        saving.send_when_saved(node, leader, later)
    reply = messages.AppendReply(node.term, True, durable, round_number)
    _reply_when_term_saved(node, leader, reply)


def _reply_when_term_saved(node, leader, reply):
    if node.durable_term == node.term:
        saving.send(node, leader, reply)
    else:
        saving.send_when_saved(node, leader, reply)
