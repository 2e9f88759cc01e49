"""
oriolelock.consensus.transfer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Handing leadership to another voter, after Ongaro (2014), section 3.10.
"""

from oriolelock.consensus import membership, messages, quorum, saving, state

__all__ = ["advance", "ask_if_preferred", "begin", "on_request", "tick"]

# A preferred replica that could not take over asks again after this time. A replica that fails
# each time would otherwise interrupt proposals every election timeout.
ASK_INTERVAL_S = 10.0


def begin(node: state.Node, name: str, now: float) -> None:
    """Stop accepting proposals and bring the target up to date."""
    if node.role != state.Role.LEADER or node.transfer_to:
        return
    candidates = [
        item.name
        for item in quorum.voters(node.membership)
        if item.name != node.cfg.name
        and membership.is_caught_up(node, item.name, now)
        and name in ("", item.name)
    ]
    if not candidates:
        return
    node.transfer_to = max(candidates, key=lambda item: node.progress[item].match_index)
    node.transfer_deadline_s = now + node.cfg.election_min_s
    advance(node)


def advance(node: state.Node) -> None:
    """Ask the target to start its election once it holds the whole log."""
    if node.role != state.Role.LEADER or node.transfer_to not in node.progress:
        return
    if node.progress[node.transfer_to].match_index == node.log.last_index:
        saving.send(node, node.transfer_to, messages.TimeoutNow(node.term))


def tick(node: state.Node, now: float) -> None:
    """Accept proposals again when the target has not taken over in time."""
    if node.transfer_to and now >= node.transfer_deadline_s:
        node.transfer_to = ""


def on_request(node: state.Node, event, now: float) -> None:
    """Hand over to a preferred replica that asks for it."""
    if event.msg.term == node.term:
        begin(node, event.sender, now)


def ask_if_preferred(node: state.Node, now: float) -> None:
    """Ask the leader for leadership when this replica should lead and is up to date."""
    cfg = node.cfg
    if not cfg.preferred or node.role != state.Role.FOLLOWER or not node.leader:
        return
    since_s = max(node.follows_since_s + cfg.election_max_s, node.transfer_asked_s + ASK_INTERVAL_S)
    if now < since_s or now - node.leader_contact_s >= cfg.election_min_s:
        return
    if not quorum.is_voter(node.membership, cfg.name, cfg.incarnation):
        return
    node.transfer_asked_s = now
    saving.send(node, node.leader, messages.RequestTransfer(node.term))
