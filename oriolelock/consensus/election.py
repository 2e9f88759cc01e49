"""
oriolelock.consensus.election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Terms, pre-votes, votes, and stepping down.

    After Ongaro, "Consensus: Bridging Theory and Practice" (2014), sections 3.4, 4.2.3 and
    9.6. A pre-vote keeps a replica that was cut off from raising the term of a live leader.
"""

from oriolelock.consensus import messages, outputs, quorum, replication, saving, state

__all__ = [
    "become_follower",
    "campaign",
    "on_pre_vote",
    "on_pre_vote_reply",
    "on_timeout_now",
    "on_vote",
    "on_vote_reply",
    "step_down_if_cut_off",
    "tally",
    "tick",
]


# Leaves time to connect to the others.
FIRST_TIMEOUT_PARTS = (0.25, 0.7)


def reset_timer(node: state.Node, now: float) -> None:
    """Draw the next election timeout."""
    wait_s = node.rng.uniform(node.cfg.election_min_s, node.cfg.election_max_s)
    node.election_deadline_s = now + wait_s


def reset_first_timer(node: state.Node, now: float) -> None:
    """Draw the timeout after a start, which may be shorter.

    When all replicas start at once there is no leader to wait for; if there is one, the
    pre-vote keeps it.
    """
    wait_s = node.rng.uniform(*FIRST_TIMEOUT_PARTS) * node.cfg.election_min_s
    node.election_deadline_s = now + wait_s


def become_follower(node: state.Node, term: int, leader: str, now: float) -> None:
    """Follow ``leader`` (empty when unknown), in ``term`` if that is later."""
    if term > node.term:
        saving.set_term(node, term)
    if node.role != state.Role.FOLLOWER or node.leader != leader:
        node.follows_since_s = now
        reset_timer(node, now)
    for read in node.reads:
        node.out.append(outputs.Rejected(read.request_id, leader, "not-leader"))
    node.role, node.leader = state.Role.FOLLOWER, leader
    node.reads, node.progress, node.transfer_to = [], {}, ""
    node.unadmitted = {}
    node.votes = set()


def tick(node: state.Node, now: float) -> None:
    """Start a pre-vote when no leader has been heard of for an election timeout."""
    if node.role == state.Role.LEADER or now < node.election_deadline_s:
        return
    reset_timer(node, now)
    if not _may_campaign(node):
        return
    node.role, node.leader = state.Role.PRE_CANDIDATE, ""
    node.votes = {node.cfg.name}
    _ask_voters(
        node,
        messages.PreVote(node.term + 1, node.log.last_index, node.log.last_term),
        saving.send,
    )
    tally(node, now)


def _may_campaign(node):
    return quorum.is_voter(node.membership, node.cfg.name, node.cfg.incarnation)


def _ask_voters(node, msg, send):
    for replica in quorum.voters(node.membership):
        if replica.name != node.cfg.name:
            send(node, replica.name, msg)


def campaign(node: state.Node, now: float, transfer: bool = False) -> None:
    """Start an election; requests wait until the own vote is durable."""
    saving.set_term(node, node.term + 1)
    saving.vote_for(node, node.identity)
    node.role, node.leader, node.votes = state.Role.CANDIDATE, "", set()
    node.campaign_save = node.save_number + 1
    reset_timer(node, now)
    _ask_voters(
        node,
        messages.Vote(node.term, node.log.last_index, node.log.last_term, transfer),
        saving.send_when_saved,
    )


def tally(node: state.Node, now: float) -> None:
    """Act on the votes so far; the own one counts once it is durable."""
    if node.role == state.Role.CANDIDATE and node.saved_number >= node.campaign_save:
        node.votes.add(node.cfg.name)
    if quorum.majority_value(node.membership, lambda item: item.name in node.votes) != 1:
        return
    if node.role == state.Role.PRE_CANDIDATE:
        campaign(node, now)
    elif node.role == state.Role.CANDIDATE:
        replication.become_leader(node, now)


def _is_up_to_date(node, msg):
    return (msg.last_term, msg.last_index) >= (node.log.last_term, node.log.last_index)


def _has_live_leader(node, now):
    if node.role == state.Role.LEADER:
        return True
    return bool(node.leader) and now - node.leader_contact_s < node.cfg.election_min_s


def on_pre_vote(node: state.Node, event, now: float) -> None:
    """Answer whether a vote would be granted; changes nothing here."""
    msg = event.msg
    granted = (
        msg.term > node.term
        and bool(node.membership.replicas)
        and _is_up_to_date(node, msg)
        and not _has_live_leader(node, now)
    )
    term = msg.term if granted else node.term
    saving.send_when_saved(node, event.sender, messages.PreVoteReply(term, granted))


def on_pre_vote_reply(node: state.Node, event, now: float) -> None:
    """Count a pre-vote of a voter of this membership."""
    msg = event.msg
    if not quorum.is_voter(node.membership, event.sender, event.incarnation):
        return
    if not msg.granted:
        if msg.term > node.term:
            become_follower(node, msg.term, "", now)
        return
    if node.role == state.Role.PRE_CANDIDATE and msg.term == node.term + 1:
        node.votes.add(event.sender)
        tally(node, now)


def on_vote(node: state.Node, event, now: float) -> None:
    """Vote for the first candidate of a term whose log is up to date.

    A candidate that is not in this node's membership may be in a later one, so it is not
    refused for that; the candidate counts only votes of incarnations in its own membership.
    """
    msg = event.msg
    # A voter that hears a live leader keeps to it and does not enter the later term.
    if msg.term > node.term and (msg.transfer or not _has_live_leader(node, now)):
        become_follower(node, msg.term, "", now)
    identity = f"{event.sender}/{event.incarnation}"
    granted = (
        msg.term == node.term
        and bool(node.membership.replicas)
        and node.voted_for in ("", identity)
        and _is_up_to_date(node, msg)
    )
    if granted:
        # A pre-candidate gives up its own attempt.
        node.role = state.Role.FOLLOWER
        reset_timer(node, now)
        if not node.voted_for:
            saving.vote_for(node, identity)
    saving.send_when_saved(node, event.sender, messages.VoteReply(node.term, granted))


def on_vote_reply(node: state.Node, event, now: float) -> None:
    """Count a vote of a voter of this membership."""
    msg = event.msg
    if not quorum.is_voter(node.membership, event.sender, event.incarnation):
        return
    if msg.term > node.term:
        become_follower(node, msg.term, "", now)
    elif node.role == state.Role.CANDIDATE and msg.granted and msg.term == node.term:
        node.votes.add(event.sender)
        tally(node, now)


def on_timeout_now(node: state.Node, event, now: float) -> None:
    """Start an election at once, on the request of the leader of this term."""
    if event.msg.term == node.term and event.sender == node.leader and _may_campaign(node):
        campaign(node, now, transfer=True)


def step_down_if_cut_off(node: state.Node, now: float) -> None:
    """Step down as leader when no majority has answered for an election timeout.

    Runs before each event, so that a process that was stopped and resumes steps down before
    it answers anything.
    """
    if node.role != state.Role.LEADER:
        return
    contact_s = quorum.majority_value(
        node.membership, lambda item: replication.contact_s(node, item, now)
    )
    if now - contact_s >= node.cfg.election_min_s:
        become_follower(node, node.term, "", now)
