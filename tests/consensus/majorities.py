"""
tests.consensus.majorities
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Checks who is counted: in elections, in commits, and in memberships that follow one another.
"""

import itertools

from oriolelock.consensus import messages


def identities(replicas):
    return {f"{replica.name}/{replica.incarnation}" for replica in replicas if replica.voter}


def electorates(membership):
    """Return the sets of voters of which each decision needs a majority: two in a joint one."""
    sets = [identities(membership.replicas)]
    return [*sets, identities(membership.old_voters)] if membership.old_voters else sets


def overlap(left, right):
    """Return whether each majority of one set has a member in each majority of the other."""
    left_needed, right_needed = len(left) // 2 + 1, len(right) // 2 + 1
    from_shared = max(0, left_needed - len(left - right)) + max(0, right_needed - len(right - left))
    return from_shared > len(left & right)


class Record:
    """The votes that were granted and the entries that were stored, by identity."""

    def __init__(self):
        self._votes = {}
        self._stored = {}
        self._snapshots = {}
        self._checked = {}

    def sent(self, replica, target, msg):
        """Record a vote; it must be durable, and given by a replica that knows its group."""
        if not isinstance(msg, messages.VoteReply) or not msg.granted:
            return
        assert replica.node.membership.replicas, "vote of a replica with an empty disk"
        assert replica.disk.term == msg.term, "vote that is not durable"
        assert replica.disk.voted_for.startswith(f"{target}/"), "vote that is not durable"
        self._votes.setdefault((msg.term, replica.disk.voted_for), set()).add(replica.identity)

    def stored(self, replica, entries):
        for entry in entries:
            self._stored.setdefault((entry.index, entry.term), set()).add(replica.identity)

    def stored_snapshot(self, replica, index):
        self._snapshots[replica.identity] = index

    def check_leader(self, replica):
        """Assert that a majority of the voters, the leader among them, elected the leader."""
        term, groups = replica.node.term, electorates(replica.node.membership)
        assert replica.identity in set.union(*groups), "leader that is no voter"
        assert (replica.disk.term, replica.disk.voted_for) == (term, replica.identity)
        granted = self._votes.get((term, replica.identity), set()) | {replica.identity}
        for voters in groups:
            assert len(granted & voters) > len(voters) // 2, "leader without a majority"

    def check_commit(self, replica, entry):
        """Assert that a majority of the voters has stored what the leader commits."""
        for voters in electorates(replica.node.membership):
            stored = self._stored.get((entry.index, entry.term), set())
            stored = stored | {n for n in voters if self._snapshots.get(n, 0) >= entry.index}
            assert len(stored & voters) > len(voters) // 2, "commit without a majority"

    def check_memberships(self, replica):
        """Assert that memberships in a log follow one another with majorities that overlap."""
        memberships = replica.node.memberships
        if self._checked.get(replica.identity) == memberships[-1]:
            return
        self._checked[replica.identity] = memberships[-1]
        for (_, before), (_, after) in zip(memberships, memberships[1:], strict=False):
            if before.replicas and before != after:
                pairs = itertools.product(electorates(before), electorates(after))
                assert any(
                    overlap(left, right) for left, right in pairs
                ), f"disjoint majorities: {before} and {after}"
