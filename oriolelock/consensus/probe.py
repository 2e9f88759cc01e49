"""
oriolelock.consensus.probe
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Finds replicas that may be admitted to a group but don't ask for it.

    The leader sends them heartbeats as it does to members. Their replies tell the incarnation of
    their data folder, with which they are admitted like any other non-member that replies.
"""

from oriolelock.consensus import messages, persistence, quorum, state

__all__ = ["probe"]


def probe(node: state.Node, event, now: float) -> None:
    """Send a heartbeat to the replicas in ``event`` that are no members, once a round."""
    if node.role != state.Role.LEADER or node.heartbeat_sent_s != now:
        return
    for name in event.names:
        if name != node.cfg.name and quorum.find(node.membership, name) is None:
            heartbeat = messages.Append(
                node.term,
                node.log.last_index,
                node.log.last_term,
                node.commit_index,
                node.heartbeat_round,
                (),
            )
            persistence.send(node, name, heartbeat)
