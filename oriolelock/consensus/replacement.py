"""
oriolelock.consensus.replacement
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The leader's decisions on membership: which replicas are admitted, promoted and removed.

    A successor takes the seat of a voter that is lost, so that voters that are gone never pile up.
    Both change in one step, by a joint membership: while it is in effect any one more replica may
    be lost, the successor included, without taking the majority from those that remain and return.
    If a member does not know joint memberships, as during an upgrade, the lost voter is removed
    and the successor promoted next, each as a single change; the group has one voter less then.
"""

import collections.abc
import dataclasses

from oriolelock.consensus import events, membership, messages, quorum, state

__all__ = ["Change", "Plan", "make_plan", "silent_s"]

# A leader does not judge a replica before it had the time to reply to this many heartbeats.
MIN_HEARTBEATS = 2


@dataclasses.dataclass(frozen=True)
class Change:
    """A change to request: ``event`` and the reason for it.

    ``silent_s``: for how long the replica has not replied, in seconds.
    """

    event: events.AddLearner | events.Promote | events.Remove | events.Replace | events.Restore
    name: str
    reason: str
    silent_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """The changes to request, the most urgent first; the node makes one at a time.

    ``waiting``: why each other learner is not promoted yet, and why each lost voter is kept.
    """

    changes: tuple[Change, ...] = ()
    waiting: tuple[tuple[str, str], ...] = ()


def silent_s(
    node: state.Node, name: str, now: float, heard_s: collections.abc.Mapping[str, float]
) -> float:
    """Return for how many seconds another member has been silent, as this leader knows.

    ``heard_s``: when the link to a replica was last alive, by name. It counts for replicas that
    have not replied to this leader yet, so that their silence does not start with its election.
    """
    progress = node.progress[name]
    if progress.has_replied:
        return now - progress.last_contact_s
    if now - progress.last_contact_s < MIN_HEARTBEATS * node.cfg.heartbeat_s:
        return 0.0
    return now - min(progress.last_contact_s, heard_s.get(name, progress.last_contact_s))


def make_plan(
    node: state.Node,
    min_voters: int | None,
    now: float,
    heard_s: collections.abc.Mapping[str, float],
    knows_joint: collections.abc.Mapping[str, bool],
) -> Plan:
    """Return the changes that a leader requests, none from other nodes.

    ``min_voters``: at least this many voters are left where one is removed without a successor;
    None removes nobody, for groups whose replicas have fixed names. For ``heard_s`` see
    ``silent_s``. ``knows_joint``: whether the build of a replica knows joint memberships, by name;
    replicas of unknown builds are left out.
    """
    if node.role != state.Role.LEADER:
        return Plan()
    if quorum.is_joint(node.membership):
        return _end_of_replacement(node, now, heard_s)
    silences = {name: silent_s(node, name, now, heard_s) for name in node.progress}
    ready = [
        replica.name
        for replica in node.membership.replicas
        if not replica.voter and membership.is_caught_up(node, replica.name, now)
    ]
    if min_voters is None:
        changes = [_promotion(name) for name in ready]
        return Plan((*changes, *_admissions(node)), _lagging(node, ready))
    lost = _lost_voters(node, silences)
    waiting = _lagging(node, ready)
    if ready and _has_free_seat(node):
        voter_changes = [_promotion(ready[0])]
    else:
        voter_changes = _replacements(node, silences, lost, ready, knows_joint)
        if not voter_changes:
            voter_changes = _voter_removals(node, min_voters, silences, lost, ready)
        if lost and not voter_changes:
            waiting += tuple((name, "lost, no successor is ready") for name in lost)
    if not voter_changes:
        voter_changes, undecided = _promotions(node, ready, lost)
        waiting += undecided
    changes = [*voter_changes, *_admissions(node), *_learner_removals(node, silences)]
    return Plan(tuple(changes), waiting)


def _lost_voters(node, silences):
    """Return the voters that don't reply, the one that has been silent for longest first."""
    names = [r.name for r in quorum.voters(node.membership) if r.name in silences]
    lost = [name for name in names if silences[name] >= node.cfg.election_min_s]
    return sorted(lost, key=lambda name: -silences[name])


def _has_free_seat(node):
    """Return whether the latest change of the voters removed one from a group of odd size.

    Known from the log, so that no second voter, which may come back, is removed for the same
    successor, by a new leader either. A group that has become odd lost a voter that was one too
    many.
    """
    counts = [
        len(quorum.voters(members))
        for _, members in node.memberships
        if not quorum.is_joint(members)
    ]
    changed = [count for count in counts[:-1] if count != counts[-1]]
    return bool(changed) and changed[-1] > counts[-1] and counts[-1] % 2 == 0


def _replacements(node, silences, lost, ready, knows_joint):
    """Return the replacement of one lost voter in a group of odd size, if all know how.

    A group of even size rather loses the lost voter: it survives as many losses without it.
    """
    if not lost or not ready or len(quorum.voters(node.membership)) % 2 == 0:
        return []
    name, successor = lost[0], ready[0]
    others = [r.name for r in node.membership.replicas if r.name not in (name, node.cfg.name)]
    if not knows_joint.get(name, True) or not all(knows_joint.get(o, False) for o in others):
        return []
    event = events.Replace(name, successor)
    return [Change(event, name, f"lost, {successor} is its successor", silences[name])]


def _end_of_replacement(node, now, heard_s):
    """Return how a joint membership ends: a voter that replies again keeps its vote."""
    replaced = quorum.outgoing_voters(node.membership)[0].name
    if replaced == node.cfg.name:
        return Plan((Change(events.Restore(replaced), replaced, "leads"),))
    silence_s = silent_s(node, replaced, now, heard_s)
    if silence_s >= node.cfg.election_min_s:
        event, reason = events.Remove(replaced), "still lost"
    elif node.progress[replaced].has_replied:
        event, reason = events.Restore(replaced), "replies again"
    else:
        return Plan(waiting=((replaced, "not known whether it is lost"),))
    return Plan((Change(event, replaced, reason, silence_s),))


def _voter_removals(node, min_voters, silences, lost, ready):
    """Return the removal of one lost voter, if there is a reason for it and a majority is left.

    An even group survives as many losses with one voter less, and any majority of its machines
    still contains a majority of the voters.
    """
    voter_count = len(quorum.voters(node.membership))
    remaining_count = voter_count - 1
    has_majority = 2 * (voter_count - len(lost)) > remaining_count
    if not lost or not has_majority:
        return []
    name = lost[0]
    if ready:
        return [_removal(name, "lost, a successor is ready", silences)]
    if remaining_count < min_voters:
        return []
    if voter_count % 2 == 0 and silences[name] >= _even_group_limit_s(node, min_voters):
        return [_removal(name, "lost, in a group of even size", silences)]
    if silences[name] >= membership.REMOVE_AFTER_S:
        return [_removal(name, "lost for long", silences)]
    return []


def _even_group_limit_s(node, min_voters):
    """Return after which silence an even group loses a voter, the smallest one at once."""
    is_smallest = len(quorum.voters(node.membership)) - 1 == min_voters
    return node.cfg.election_min_s if is_smallest else node.cfg.election_max_s


def _promotions(node, ready, lost):
    """Return the promotions, and the learners that wait until each voter is known to live.

    The predecessor of a learner stopped before the learner started, so it never acknowledges a
    heartbeat that was sent after the learner's admission.
    """
    promotions, waiting = [], []
    others = [r.name for r in quorum.voters(node.membership) if r.name in node.progress]
    for name in ready:
        admitted_round = node.progress[name].admitted_round
        unknown = [
            other
            for other in others
            if other not in lost and node.progress[other].acked_round <= admitted_round
        ]
        if unknown:
            waiting.append((name, f"not known whether {', '.join(sorted(unknown))} are lost"))
        else:
            promotions.append(_promotion(name))
    return promotions, tuple(waiting)


def _promotion(name):
    return Change(events.Promote(name), name, "caught up")


def _removal(name, reason, silences):
    return Change(events.Remove(name), name, reason, silences[name])


def _admissions(node):
    return [
        Change(events.AddLearner(messages.Replica(name, incarnation, False)), name, "replied")
        for name, incarnation in membership.recent_non_members(node).items()
    ]


def _learner_removals(node, silences):
    """Return the removals of silent learners; one that lives is admitted again when it asks."""
    return [
        _removal(replica.name, "silent learner", silences)
        for replica in node.membership.replicas
        if not replica.voter and silences.get(replica.name, 0.0) >= node.cfg.election_max_s
    ]


def _lagging(node, ready):
    return tuple(
        (replica.name, "not caught up")
        for replica in node.membership.replicas
        if not replica.voter and replica.name not in ready
    )
