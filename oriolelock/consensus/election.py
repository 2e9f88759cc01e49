"""
oriolelock.consensus.election
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Leader election: terms, pre-votes, votes, and stepping down.

    Implements Ongaro, "Consensus: Bridging Theory and Practice" (2014), sections 3.4, 4.2.3
    and 9.6. The pre-vote prevents a replica that was partitioned from raising the term of a
    live leader.
"""

from oriolelock.consensus import messages, outputs, persistence, quorum, replication, state

__all__ = [
    "become_follower",
    "count_votes",
    "on_pre_vote",
    "on_pre_vote_reply",
    "on_timeout_now",
    "on_vote",
    "on_vote_reply",
    "start_election",
    "step_down_without_quorum",
    "tick",
]


# Range of the initial timeout, as multiples of ``election_min_s``. The lower bound leaves time to
# connect to the other replicas.
FIRST_TIMEOUT_FACTORS = (0.25, 0.7)
# Between the rounds of a pre-vote that finds no majority, such as after a start of all replicas,
# whose connections take a while. Grows, so that a replica that is cut off sends little.
PRE_VOTE_RETRY_S = 0.1
PRE_VOTE_RETRY_GROWTH = 1.3
# For how long a replica leaves the election to another one whose pre-vote it has granted.
DEFERENCE_S = (0.15, 0.4)


def reset_election_timer(node: state.Node, now: float) -> None:
    """Set a random election timeout, starting now."""
    timeout_s = node.rng.uniform(node.cfg.election_min_s, node.cfg.election_max_s)
    node.election_deadline_s = now + timeout_s


def reset_initial_election_timer(node: state.Node, now: float) -> None:
    """Set the first election timeout after a start, which is shorter than later ones.

    If all replicas start at once, there is no leader to wait for. If there is a leader, the
    pre-vote prevents its replacement.
    """
    timeout_s = node.rng.uniform(*FIRST_TIMEOUT_FACTORS) * node.cfg.election_min_s
    node.election_deadline_s = now + timeout_s


def become_follower(node: state.Node, term: int, leader: str, now: float) -> None:
    """Follow ``leader`` (empty if unknown) and enter ``term`` if it is later."""
    if term > node.term:
        persistence.set_term(node, term)
    if node.role != state.Role.FOLLOWER or node.leader != leader:
        node.follower_since_s = now
        reset_election_timer(node, now)
    for read in node.pending_reads:
        node.pending_outputs.append(outputs.Rejected(read.request_id, leader, "not-leader"))
    node.role, node.leader = state.Role.FOLLOWER, leader
    node.pending_reads, node.progress, node.transfer_target = [], {}, ""
    node.non_members = {}
    node.votes = set()


def tick(node: state.Node, now: float) -> None:
    """Start a pre-vote if the election timeout has expired without contact from a leader."""
    if node.role == state.Role.LEADER or now < node.election_deadline_s:
        return
    if not _is_eligible(node):
        _forget_silent_leader(node, now)
        return
    if node.role != state.Role.PRE_CANDIDATE:
        node.pre_vote_rounds = 0
    _set_pre_vote_timer(node, now)
    node.role, node.leader = state.Role.PRE_CANDIDATE, ""
    node.votes = {node.cfg.name}
    _send_to_other_voters(
        node,
        messages.PreVote(node.term + 1, node.log.last_index, node.log.last_term),
        persistence.send,
    )
    count_votes(node, now)


def _forget_silent_leader(node, now):
    """Forget a leader that sends nothing, so that this non-voter asks to be admitted again.

    It may have been removed while it was cut off, and would then wait for that leader for good.
    """
    become_follower(node, node.term, "", now)
    reset_election_timer(node, now)


def _set_pre_vote_timer(node, now):
    retry_s = PRE_VOTE_RETRY_S * PRE_VOTE_RETRY_GROWTH**node.pre_vote_rounds
    retry_s = min(node.cfg.election_min_s, retry_s)
    node.pre_vote_rounds += 1
    node.election_deadline_s = now + retry_s * node.rng.uniform(0.8, 1.2)


def _is_eligible(node):
    return quorum.is_voter(node.membership, node.cfg.name, node.cfg.incarnation)


def _send_to_other_voters(node, msg, send):
    for replica in quorum.voters(node.membership):
        if replica.name != node.cfg.name:
            send(node, replica.name, msg)


def start_election(node: state.Node, now: float, transfer: bool = False) -> None:
    """Start an election; vote requests are sent once this node's own vote is durable."""
    persistence.set_term(node, node.term + 1)
    persistence.vote_for(node, node.identity)
    node.role, node.leader, node.votes = state.Role.CANDIDATE, "", set()
    node.vote_save_number = node.save_number + 1
    reset_election_timer(node, now)
    _send_to_other_voters(
        node,
        messages.Vote(node.term, node.log.last_index, node.log.last_term, transfer),
        persistence.send_when_saved,
    )


def count_votes(node: state.Node, now: float) -> None:
    """Proceed if a majority has granted its vote; the own vote counts once it is durable."""
    if node.role == state.Role.CANDIDATE and node.last_saved_number >= node.vote_save_number:
        node.votes.add(node.cfg.name)
    if quorum.majority_value(node.membership, lambda replica: replica.name in node.votes) != 1:
        return
    if node.role == state.Role.PRE_CANDIDATE:
        start_election(node, now)
    elif node.role == state.Role.CANDIDATE:
        replication.become_leader(node, now)


def _is_up_to_date(node, msg):
    return (msg.last_term, msg.last_index) >= (node.log.last_term, node.log.last_index)


def _has_live_leader(node, now):
    if node.role == state.Role.LEADER:
        return True
    return bool(node.leader) and now - node.leader_contact_s < node.cfg.election_min_s


def on_pre_vote(node: state.Node, event, now: float) -> None:
    """Reply whether a vote would be granted, without changing any state."""
    msg = event.msg
    granted = (
        msg.term > node.term
        and bool(node.membership.replicas)
        and _is_up_to_date(node, msg)
        and not _has_live_leader(node, now)
    )
    term = msg.term if granted else node.term
    if granted:
        _defer_to(node, event.sender, now)
    persistence.send_when_saved(node, event.sender, messages.PreVoteReply(term, granted))


def _defer_to(node, sender, now):
    """Leave the election to ``sender`` for a while, so that the votes are not split.

    Of two replicas that ask each other, the one with the lower name goes on.
    """
    if node.role == state.Role.PRE_CANDIDATE and node.cfg.name < sender:
        return
    if node.role in (state.Role.FOLLOWER, state.Role.PRE_CANDIDATE):
        node.role = state.Role.FOLLOWER
        deferred_until_s = now + node.rng.uniform(*DEFERENCE_S)
        node.election_deadline_s = max(node.election_deadline_s, deferred_until_s)


def on_pre_vote_reply(node: state.Node, event, now: float) -> None:
    """Count a pre-vote if the sender is a voter of the current membership."""
    msg = event.msg
    if not quorum.is_voter(node.membership, event.sender, event.incarnation):
        return
    if not msg.granted:
        if msg.term > node.term:
            become_follower(node, msg.term, "", now)
        return
    if node.role == state.Role.PRE_CANDIDATE and msg.term == node.term + 1:
        node.votes.add(event.sender)
        count_votes(node, now)


def on_vote(node: state.Node, event, now: float) -> None:
    """Vote for the first candidate of a term whose log is up to date.

    A candidate outside this node's membership is not rejected, since it may belong to a later
    one. Candidates count only votes of incarnations in their own membership.
    """
    msg = event.msg
    # A voter in contact with a live leader ignores the later term and keeps its leader.
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
        # A pre-candidate abandons its own pre-vote.
        node.role = state.Role.FOLLOWER
        reset_election_timer(node, now)
        if not node.voted_for:
            persistence.vote_for(node, identity)
    persistence.send_when_saved(node, event.sender, messages.VoteReply(node.term, granted))


def on_vote_reply(node: state.Node, event, now: float) -> None:
    """Count a vote if the sender is a voter of the current membership."""
    msg = event.msg
    if not quorum.is_voter(node.membership, event.sender, event.incarnation):
        return
    if msg.term > node.term:
        become_follower(node, msg.term, "", now)
    elif node.role == state.Role.CANDIDATE and msg.granted and msg.term == node.term:
        node.votes.add(event.sender)
        count_votes(node, now)


def on_timeout_now(node: state.Node, event, now: float) -> None:
    """Start an election immediately if the leader of the current term requests it."""
    if event.msg.term == node.term and event.sender == node.leader and _is_eligible(node):
        start_election(node, now, transfer=True)


def step_down_without_quorum(node: state.Node, now: float) -> None:
    """Step down as leader if no majority has replied for an election timeout.

    Called before each event is handled, so that a leader whose process was suspended steps down
    before it replies to anything.
    """
    if node.role != state.Role.LEADER:
        return
    majority_contact_s = quorum.majority_value(
        node.membership, lambda replica: replication.last_contact_s(node, replica, now)
    )
    if now - majority_contact_s >= node.cfg.election_min_s:
        become_follower(node, node.term, "", now)
