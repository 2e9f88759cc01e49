"""
oriolelock.consensus.reads
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Linearizable reads: the leader confirms its leadership with a round of heartbeats.

    Implements Ongaro (2014), section 6.4, without relying on clocks.
"""

from oriolelock.consensus import outputs, quorum, replication, state

__all__ = ["complete_confirmed", "request", "start_round_if_needed"]


def request(node: state.Node, event, now: float) -> None:
    """Queue a read until the next heartbeat round is confirmed."""
    if node.role != state.Role.LEADER:
        node.pending_outputs.append(outputs.Rejected(event.request_id, node.leader, "not-leader"))
        return
    read = state.PendingRead(event.request_id, node.heartbeat_round + 1, _read_index(node))
    node.pending_reads.append(read)


def _read_index(node):
    """Return the commit index, or 0 before the first commit of the term.

    Until then a new leader may not know of all entries committed in earlier terms.
    """
    return node.commit_index if node.log.term_at(node.commit_index) == node.term else 0


def start_round_if_needed(node: state.Node, now: float) -> None:
    """Start a round for queued reads unless one is in progress; else the next heartbeat does."""
    if node.role != state.Role.LEADER or node.confirmed_round < node.heartbeat_round:
        return
    if any(read.round > node.heartbeat_round for read in node.pending_reads):
        replication.broadcast_heartbeat(node, now)


def complete_confirmed(node: state.Node) -> None:
    """Emit ``ReadReady`` for reads whose round a majority has acknowledged."""

    def acked_round(replica):
        if replica.name == node.cfg.name:
            return node.heartbeat_round
        return node.progress[replica.name].acked_round

    majority_round = quorum.majority_value(node.membership, acked_round)
    node.confirmed_round = max(node.confirmed_round, majority_round)
    read_index = _read_index(node)
    if not read_index:
        return
    unconfirmed = []
    for read in node.pending_reads:
        if read.round <= node.confirmed_round:
            node.pending_outputs.append(
                outputs.ReadReady(read.request_id, read.index or read_index)
            )
        else:
            unconfirmed.append(read)
    node.pending_reads = unconfirmed
