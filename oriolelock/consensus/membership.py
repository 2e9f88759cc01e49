"""
oriolelock.consensus.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Membership changes: of a single voter, and joint ones that replace a voter.

    Implements Ongaro (2014), sections 4.1 and 4.3: a membership takes effect as soon as it is
    appended to the log. A single change adds or removes at most one voter, so that any majority
    before and any majority after it overlap, and a term cannot have two leaders. A replacement
    passes through a joint membership, in which each decision needs a majority of the old voters
    and one of the new ones; once it is committed, another entry ends it with either of them.
"""

import dataclasses

from oriolelock.consensus import messages, outputs, quorum, replication, state, transfer
from oriolelock.wire import codec

__all__ = [
    "CAUGHT_UP_ENTRIES",
    "DEPARTED",
    "REMOVE_AFTER_S",
    "activate",
    "add_learner",
    "in_effect_at",
    "is_better_without_one",
    "is_caught_up",
    "promote",
    "recent_non_members",
    "refresh_progress",
    "remove",
    "replace",
    "restore",
]

# Under steady load a learner always lags behind by the entries in flight.
CAUGHT_UP_ENTRIES = 64
# The incarnation of a member that gave up its vote and stopped; no data folder has it.
DEPARTED = "departed"
# Voters that remain at least when one gives up its vote; of two, none may be lost.
MIN_REMAINING_VOTERS = 3
# A replica that was replaced never replies again. One that was only partitioned rejoins after its
# removal, so a wrong removal costs no more than a catch-up.
REMOVE_AFTER_S = 12.0


def in_effect_at(node: state.Node, index: int) -> messages.Membership:
    """Return the membership that is in effect at ``index``."""
    return next(value for start_index, value in reversed(node.memberships) if start_index <= index)


def activate(node: state.Node, entry: messages.Entry) -> None:
    """Make the membership in an appended entry the current one."""
    node.memberships.append((entry.index, codec.decode(entry.data)))


def refresh_progress(node: state.Node, now: float) -> None:
    """Track the progress of all other members; a new incarnation starts with no progress."""
    progress_by_name = {}
    for replica in node.membership.replicas:
        if replica.name == node.cfg.name:
            continue
        progress = node.progress.get(replica.name)
        if progress is None or progress.incarnation != replica.incarnation:
            progress = state.Progress(
                replica.incarnation, node.log.last_index + 1, now, node.heartbeat_round
            )
        progress_by_name[replica.name] = progress
        if node.non_members.get(replica.name, (None,))[0] == replica.incarnation:
            del node.non_members[replica.name]
    node.progress = progress_by_name


def is_caught_up(node: state.Node, name: str, now: float) -> bool:
    """Return whether a replica is responsive and has nearly all committed entries."""
    progress = node.progress.get(name)
    if (
        progress is None
        or progress.snapshot
        or now - progress.last_contact_s >= node.cfg.election_min_s
    ):
        return False
    return (
        progress.match_index > 0 and node.commit_index - progress.match_index <= CAUGHT_UP_ENTRIES
    )


def recent_non_members(node: state.Node) -> dict[str, str]:
    """Return the incarnations, by name, of non-members that recently replied to this leader."""
    oldest_s = node.heartbeat_sent_s - node.cfg.election_max_s
    return {
        name: incarnation
        for name, (incarnation, last_reply_s) in node.non_members.items()
        if last_reply_s >= oldest_s
    }


def is_better_without_one(members: messages.Membership) -> bool:
    """Return whether a group survives as many losses with one voter less, three at least."""
    if quorum.is_joint(members):
        return False
    count = len(quorum.voters(members))
    return count % 2 == 0 and count > MIN_REMAINING_VOTERS


def add_learner(node: state.Node, event, now: float) -> None:
    """Add a non-voting replica, which replaces an older incarnation of the same name.

    The replacement is a single change: it removes at most one voter, and learners do not count
    in majorities. A majority of n voters and a majority of the n - 1 remaining ones have more
    than n members in total, so they overlap.
    """
    learner = dataclasses.replace(event.replica, voter=False)
    if quorum.is_member(node.membership, learner.name, learner.incarnation):
        return
    reason = "own-name" if learner.name == node.cfg.name else ""
    if learner.incarnation == DEPARTED and not _may_depart(node, learner.name):
        reason = "vote-needed"
    others = [replica for replica in node.membership.replicas if replica.name != learner.name]
    _propose_change(node, learner.name, reason, [*others, learner], now)


def _may_depart(node, name):
    """Return whether a voter may give up its vote; several may ask at the same time."""
    replica = quorum.find(node.membership, name)
    return replica is not None and replica.voter and is_better_without_one(node.membership)


def promote(node: state.Node, event, now: float) -> None:
    """Make a learner a voter if it has caught up."""
    replica = quorum.find(node.membership, event.name)
    if replica is not None and replica.voter:
        return
    reason = ""
    if replica is None:
        reason = "unknown-replica"
    elif not is_caught_up(node, event.name, now):
        reason = "not-caught-up"
    replicas = [
        dataclasses.replace(member, voter=True) if member.name == event.name else member
        for member in node.membership.replicas
    ]
    _propose_change(node, event.name, reason, replicas, now)


def remove(node: state.Node, event, now: float) -> None:
    """Remove a replica; a leader transfers its leadership first and its successor removes it.

    A leader that appended its own removal and then lost contact with its followers would neither
    start an election, as a non-member, nor vote for replicas with shorter logs: a group of two
    could not elect a leader. Other removed replicas never receive the entry that removes them,
    so they still vote.
    """
    if quorum.find(node.membership, event.name) is None:
        return
    reason = ""
    if event.name == node.cfg.name and len(quorum.voters(node.membership)) > 1:
        transfer.start(node, "", now)
        reason = "transferring"
    replicas = [member for member in node.membership.replicas if member.name != event.name]
    _propose_change(node, event.name, reason, replicas, now)


def replace(node: state.Node, event, now: float) -> None:
    """Begin to give the vote of a voter to a learner that has caught up.

    The loss of any one replica in between leaves a majority of the old voters and one of the new
    ones, once the others are back.
    """
    replaced = quorum.find(node.membership, event.name)
    successor = quorum.find(node.membership, event.successor)
    if replaced is None or successor is None or not replaced.voter or successor.voter:
        return
    reason = ""
    if event.name == node.cfg.name:
        reason = "own-name"
    elif not is_caught_up(node, event.successor, now):
        reason = "not-caught-up"
    is_voter = {event.name: False, event.successor: True}
    replicas = [
        dataclasses.replace(member, voter=is_voter.get(member.name, member.voter))
        for member in node.membership.replicas
    ]
    old_voters = quorum.voters(node.membership)
    _propose_change(node, event.name, reason, replicas, now, old_voters)


def restore(node: state.Node, event, now: float) -> None:
    """End a joint membership with the old voters; the successor remains as a learner.

    This is as safe as the new voters, since each decision until then had a majority of both.
    """
    if not _is_outgoing(node, event.name):
        return
    old_names = {replica.name for replica in node.membership.old_voters}
    replicas = [
        dataclasses.replace(member, voter=member.name in old_names)
        for member in node.membership.replicas
    ]
    _propose_change(node, event.name, "", replicas, now)


def _is_outgoing(node, name):
    return any(replica.name == name for replica in quorum.outgoing_voters(node.membership))


def _propose_change(node, name, reason, replicas, now, old_voters=()):
    new_membership = messages.Membership(tuple(replicas), old_voters)
    if node.role != state.Role.LEADER:
        reason = "not-leader"
    elif node.transfer_target:
        reason = "transferring"
    elif node.memberships[-1][0] > node.commit_index or (
        quorum.is_joint(node.membership) and not _is_outgoing(node, name)
    ):
        reason = "change-in-progress"
    elif node.log.term_at(node.commit_index) != node.term:
        # Until it has committed an entry of its own term, a leader may not know of a change that
        # was committed in an earlier term. Two changes would then be in progress.
        reason = "not-ready"
    elif not reason and not quorum.voters(new_membership):
        reason = "last-voter"
    if reason:
        node.pending_outputs.append(outputs.Rejected(f"member:{name}", node.leader, reason))
        return
    entry = replication.append_as_leader(node, "membership", codec.encode(new_membership))
    activate(node, entry)
    refresh_progress(node, now)
    replication.send_to_all(node)
