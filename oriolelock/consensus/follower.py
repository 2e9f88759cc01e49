"""
oriolelock.consensus.follower
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Log replication on followers.
"""

from oriolelock.consensus import election, membership, messages, persistence, replication, state

__all__ = ["accept_leader", "on_append"]


def accept_leader(node: state.Node, event, now: float) -> bool:
    """Follow the sender unless its term is outdated; returns whether it is followed."""
    if event.msg.term < node.term:
        return False
    if node.role == state.Role.LEADER and event.msg.term == node.term:
        raise ValueError(f"two leaders in term {node.term}: {event.sender} and {node.cfg.name}")
    election.become_follower(node, event.msg.term, event.sender, now)
    node.leader_contact_s = now
    election.reset_election_timer(node, now)
    return True


def on_append(node: state.Node, event, now: float) -> None:
    """Append the entries if the log contains the one before them; else reject them."""
    msg = event.msg
    if not accept_leader(node, event, now):
        reply = messages.AppendReply(node.term, False, node.log.last_index, msg.round)
        persistence.send_when_saved(node, event.sender, reply)
        return
    if msg.prev_index > node.log.base_index and node.log.term_at(msg.prev_index) != msg.prev_term:
        reply = messages.AppendReply(
            node.term, False, _retry_index(node, msg.prev_index), msg.round
        )
        _reply_when_term_saved(node, event.sender, reply)
        return
    for entry in msg.entries:
        _store_entry(node, entry)
    last_match_index = msg.prev_index + len(msg.entries)
    replication.commit_up_to(node, min(msg.commit, last_match_index))
    _acknowledge(node, event.sender, last_match_index, msg.round)


def _retry_index(node, prev_index):
    """Return the index before the conflicting term, from which the leader should retry."""
    if prev_index > node.log.last_index:
        return node.log.last_index
    return max(node.commit_index, node.log.first_index_of_term(prev_index) - 1)


def _store_entry(node, entry):
    if entry.index <= node.log.base_index:
        return
    term = node.log.term_at(entry.index)
    if term == entry.term:
        return
    if term is not None:
        persistence.truncate(node, entry.index)
    persistence.append(node, entry)
    if entry.kind == "membership":
        membership.activate(node, entry)


def _acknowledge(node, leader, match_index, round_number):
    """Acknowledge durable entries now and the others when they are durable.

    A follower whose disk is full thus still answers heartbeats, so that reads can be confirmed.
    """
    durable_match_index = min(match_index, node.durable_index)
    if durable_match_index < match_index:
        deferred_reply = messages.AppendReply(node.term, True, match_index, round_number)
        persistence.send_when_saved(node, leader, deferred_reply)
    reply = messages.AppendReply(node.term, True, durable_match_index, round_number)
    _reply_when_term_saved(node, leader, reply)


def _reply_when_term_saved(node, leader, reply):
    if node.durable_term == node.term:
        persistence.send(node, leader, reply)
    else:
        persistence.send_when_saved(node, leader, reply)
