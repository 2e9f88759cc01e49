"""
oriolelock.consensus.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Changes of the group, one at a time.

    After Ongaro (2014), section 4.1: a membership is in force as soon as it stands in the log,
    and each change adds or removes at most one voter. Any majority before and any majority
    after such a change share a replica, so two leaders of one term cannot both be elected.
"""

import dataclasses

from oriolelock.consensus import messages, outputs, quorum, replication, state, transfer
from oriolelock.wire import codec

__all__ = [
    "CAUGHT_UP_ENTRIES",
    "add_learner",
    "at",
    "is_caught_up",
    "note",
    "promote",
    "refresh_progress",
    "removable",
    "remove",
]

# A learner under steady load is always behind by what is on its way.
CAUGHT_UP_ENTRIES = 64
# A replica that was replaced never answers again. One that is cut off for a while joins again
# after its removal, so that a wrong removal costs only a catch-up.
REMOVE_AFTER_S = 12.0


def at(node: state.Node, index: int) -> messages.Membership:
    """Return the membership in force at ``index``."""
    return next(item for start, item in reversed(node.memberships) if start <= index)


def note(node: state.Node, entry: messages.Entry) -> None:
    """Put the membership of an appended entry into force."""
    node.memberships.append((entry.index, codec.decode(entry.data)))


def refresh_progress(node: state.Node, now: float) -> None:
    """Track exactly the other replicas of the membership; a new incarnation starts afresh."""
    current = {}
    for replica in node.membership.replicas:
        if replica.name == node.cfg.name:
            continue
        item = node.progress.get(replica.name)
        if item is None or item.incarnation != replica.incarnation:
            item = state.Progress(replica.incarnation, node.log.last_index + 1, now)
        current[replica.name] = item
        if node.unadmitted.get(replica.name, ("",))[0] == replica.incarnation:
            del node.unadmitted[replica.name]
    node.progress = current


def is_caught_up(node: state.Node, name: str, now: float) -> bool:
    """Return whether a replica answers and holds nearly all committed entries."""
    item = node.progress.get(name)
    if item is None or item.snapshot or now - item.contact_s >= node.cfg.election_min_s:
        return False
    return item.match_index > 0 and node.commit - item.match_index <= CAUGHT_UP_ENTRIES


def removable(node: state.Node, min_voters: int, now: float) -> list[str]:
    """Return replicas that have been silent for long, at most one voter among them.

    A voter is removed only while a majority of those that remain answers, and at least
    ``min_voters`` remain.
    """
    heard_s = {name: item.contact_s for name, item in node.progress.items()}
    silent = {name for name, at_s in heard_s.items() if now - at_s > REMOVE_AFTER_S}
    voters = quorum.voters(node.membership)
    learners = [
        item.name for item in node.membership.replicas if not item.voter and item.name in silent
    ]
    answering = sum(item.name not in silent for item in voters)
    left = len(voters) - 1
    if left < min_voters or 2 * answering <= left:
        return learners
    return learners + [item.name for item in voters if item.name in silent][:1]


def add_learner(node: state.Node, event, now: float) -> None:
    """Admit a replica without a vote; it replaces an older incarnation of its name.

    The replacement is one change: it removes one voter at most, and a learner counts for no
    majority. Of n voters, n - 1 remain; a majority of n and a majority of the n - 1 together
    number more than n, so they share a replica.
    """
    new = dataclasses.replace(event.replica, voter=False)
    if quorum.is_member(node.membership, new.name, new.incarnation):
        return
    reason = "own-name" if new.name == node.cfg.name else ""
    others = [item for item in node.membership.replicas if item.name != new.name]
    _change(node, new.name, reason, [*others, new], now)


def promote(node: state.Node, event, now: float) -> None:
    """Give a learner its vote once it has caught up."""
    replica = quorum.find(node.membership, event.name)
    if replica is not None and replica.voter:
        return
    reason = ""
    if replica is None:
        reason = "unknown-replica"
    elif not is_caught_up(node, event.name, now):
        reason = "not-caught-up"
    replicas = [
        dataclasses.replace(item, voter=True) if item.name == event.name else item
        for item in node.membership.replicas
    ]
    _change(node, event.name, reason, replicas, now)


def remove(node: state.Node, event, now: float) -> None:
    """Remove a replica; a leader hands over first, its successor can then remove it.

    If a leader could append its own removal and then lost its followers, it would not campaign
    as a non-member and not vote for those with shorter logs: a group of two would stand still.
    Other removed replicas never get the entry that removes them, so they still vote.
    """
    if quorum.find(node.membership, event.name) is None:
        return
    reason = ""
    if event.name == node.cfg.name and len(quorum.voters(node.membership)) > 1:
        transfer.begin(node, "", now)
        reason = "transferring"
    replicas = [item for item in node.membership.replicas if item.name != event.name]
    _change(node, event.name, reason, replicas, now)


def _change(node, name, reason, replicas, now):
    new = messages.Membership(tuple(replicas))
    if node.role != state.Role.LEADER:
        reason = "not-leader"
    elif node.transfer_to:
        reason = "transferring"
    elif node.memberships[-1][0] > node.commit:
        reason = "change-in-progress"
    elif node.log.term_at(node.commit) != node.term:
        # Without a committed entry of its own term a leader may not know of a change of an
        # earlier term that is committed elsewhere; two changes would then be under way.
        reason = "not-ready"
    elif not reason and not quorum.voters(new):
        reason = "last-voter"
    if reason:
        node.out.append(outputs.Rejected(f"member:{name}", node.leader, reason))
        return
    entry = replication.append_own(node, "membership", codec.encode(new))
    note(node, entry)
    refresh_progress(node, now)
    replication.send_to_all(node)
