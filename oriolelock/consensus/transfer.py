"""
oriolelock.consensus.transfer
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Leadership transfer to another voter (Ongaro, 2014, section 3.10).
"""

from oriolelock.consensus import membership, messages, persistence, quorum, state

__all__ = ["complete_if_ready", "on_request", "request_if_preferred", "start", "tick"]

# Interval between the transfer requests of a preferred replica. Without it, a replica that fails to
# take over would interrupt proposals once per election timeout.
REQUEST_INTERVAL_S = 10.0


def start(node: state.Node, name: str, now: float) -> None:
    """Choose a target and reject proposals until it has taken over or timed out."""
    if node.role != state.Role.LEADER or node.transfer_target:
        return
    candidates = [
        replica.name
        for replica in quorum.voters(node.membership)
        if replica.name != node.cfg.name
        and membership.is_caught_up(node, replica.name, now)
        and name in ("", replica.name)
    ]
    if not candidates:
        return
    node.transfer_target = max(
        candidates, key=lambda candidate: node.progress[candidate].match_index
    )
    node.transfer_deadline_s = now + node.cfg.election_min_s
    complete_if_ready(node)


def complete_if_ready(node: state.Node) -> None:
    """Send ``TimeoutNow`` to the target if its log is complete."""
    if node.role != state.Role.LEADER or node.transfer_target not in node.progress:
        return
    if node.progress[node.transfer_target].match_index == node.log.last_index:
        persistence.send(node, node.transfer_target, messages.TimeoutNow(node.term))


def tick(node: state.Node, now: float) -> None:
    """Cancel the transfer, and accept proposals again, after its deadline."""
    if node.transfer_target and now >= node.transfer_deadline_s:
        node.transfer_target = ""


def on_request(node: state.Node, event, now: float) -> None:
    """Start a transfer to a preferred replica that requested it."""
    if event.msg.term == node.term:
        start(node, event.sender, now)


def request_if_preferred(node: state.Node, now: float) -> None:
    """Request leadership from the leader if this replica is preferred and up to date."""
    cfg = node.cfg
    if not cfg.preferred or node.role != state.Role.FOLLOWER or not node.leader:
        return
    since_s = max(
        node.follower_since_s + cfg.election_max_s, node.transfer_requested_s + REQUEST_INTERVAL_S
    )
    if now < since_s or now - node.leader_contact_s >= cfg.election_min_s:
        return
    if not quorum.is_voter(node.membership, cfg.name, cfg.incarnation):
        return
    node.transfer_requested_s = now
    persistence.send(node, node.leader, messages.RequestTransfer(node.term))
