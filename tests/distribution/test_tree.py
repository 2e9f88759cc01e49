"""Tests that the distribution tree has no cycles and no overloaded parents."""

import collections
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.distribution import tree
from oriolelock.model import member

CONTROL = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]


def make_member(n, state="live"):
    return member.Member(f"e{n}", "entry", f"h{n}", f"l{n}", "r", "r-1", state)


@settings(derandomize=True, database=None, deadline=None, max_examples=100)
@given(st.integers(1, 80), st.integers(0, 2**32))
def test_no_cycle_even_when_entries_disagree_on_who_is_live(count, seed):
    rng = random.Random(seed)
    members = [make_member(n) for n in range(count)]
    parent_of = {}
    for own in members:
        visible = [m for m in members if rng.random() < 0.5]
        parent_of[own.link_address] = tree.parent_candidates(own, visible, CONTROL)[0]
    for start in parent_of:
        address, hops = start, 0
        while address in parent_of:
            address, hops = parent_of[address], hops + 1
            assert hops <= count


def test_target_size_needs_two_connections_per_domain_and_depth_two():
    """At 5,400 nodes, a failure domain has 95 entries, and 16 control instances must suffice."""
    members = [make_member(n) for n in range(95)]
    parent_counts = collections.Counter(
        tree.parent_candidates(m, members, CONTROL)[0] for m in members
    )
    assert sum(parent_counts[address] for address in CONTROL) == tree.HEADS
    assert max(parent_counts.values()) <= tree.FAN_OUT
    assert tree.depth(95) == 2


def test_entry_that_is_down_is_not_chosen_as_parent():
    members = [make_member(n) for n in range(10)]
    last_member = max(members, key=lambda m: tree._sort_key(m.name))
    parent = tree.parent_candidates(last_member, members, CONTROL)[0]
    with_parent_down = [
        m if m.link_address != parent else make_member(int(m.name[1:]), "down") for m in members
    ]
    assert parent not in tree.parent_candidates(last_member, with_parent_down, CONTROL)
    assert tree.parent_candidates(last_member, members, CONTROL)[-3:] == tree.parent_candidates(
        last_member, [], CONTROL
    )


def test_heads_prefer_replicas_of_their_region():
    """Answers to a change that passes between regions once for each head of hundreds of entries."""
    replicas = [
        member.Member(f"c{n}", "control", "", f"127.0.0.1:{n}", "ab"[n % 2], "c1")
        for n in range(1, 7)
    ]
    addresses = [replica.link_address for replica in replicas]
    near = {replica.link_address for replica in replicas if replica.region == "a"}
    firsts = set()
    for n in range(20):
        own = member.Member(f"e{n}", "entry", "", f"127.0.0.2:{n}", "a", f"d{n}")
        candidates = tree.parent_candidates(own, [*replicas, own], addresses)
        assert set(candidates[:3]) == near
        assert sorted(candidates) == sorted(addresses)
        firsts.add(candidates[0])
    assert len(firsts) > 1


def test_replicas_that_are_no_members_are_tried_last():
    """A seed that is gone would be tried again, before living replicas, after each penalty."""
    living = [member.Member(a, "control", "h", a, "other", "other-1") for a in CONTROL[1:]]
    for name in ("e1", "e2", "e3", "e4"):
        own = member.Member(name, "entry", "h", "l", "r", "r-1")
        assert tree.parent_candidates(own, [own, *living], CONTROL)[-1] == CONTROL[0]
