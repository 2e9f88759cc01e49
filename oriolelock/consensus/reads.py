"""
oriolelock.consensus.reads
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Read confirmation: the leader proves with a round of heartbeats that it still leads.

    After Ongaro (2014), section 6.4. No clock is trusted.
"""

from oriolelock.consensus import outputs, quorum, replication, state

__all__ = ["confirm", "request", "start_round"]


def request(node: state.Node, event, now: float) -> None:
    """Queue a read for the next round."""
    if node.role != state.Role.LEADER:
        node.out.append(outputs.Rejected(event.request_id, node.leader, "not-leader"))
        return
    read = state.PendingRead(event.request_id, node.round + 1, _read_index(node))
    node.reads.append(read)


def _read_index(node):
    """Return the commit index, or 0 before the first commit of the term.

    Until then a new leader may not know of all entries that were committed before it.
    """
    return node.commit if node.log.term_at(node.commit) == node.term else 0


def start_round(node: state.Node, now: float) -> None:
    """Start a round for queued reads, unless one is under way; heartbeats start the next."""
    if node.role != state.Role.LEADER or node.confirmed_round < node.round:
        return
    if any(read.round > node.round for read in node.reads):
        replication.broadcast_round(node, now)


def confirm(node: state.Node) -> None:
    """Answer the reads whose round a majority has answered."""

    def round_of(replica):
        if replica.name == node.cfg.name:
            return node.round
        return node.progress[replica.name].acked_round

    done = quorum.majority_value(node.membership, round_of)
    node.confirmed_round = max(node.confirmed_round, done)
    index = _read_index(node)
    if not index:
        return
    waiting = []
    for read in node.reads:
        if read.round <= node.confirmed_round:
            node.out.append(outputs.ReadReady(read.request_id, read.index or index))
        else:
            waiting.append(read)
    node.reads = waiting
