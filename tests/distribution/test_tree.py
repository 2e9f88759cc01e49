"""Guards against cycles in the distribution tree and against overloaded parents."""

import collections
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.distribution import tree
from oriolelock.model import member

CONTROL = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]


def make(n, state="live"):
    return member.Member(f"e{n}", "entry", f"h{n}", f"l{n}", "r", "r-1", state)


@settings(derandomize=True, database=None, deadline=None, max_examples=100)
@given(st.integers(1, 80), st.integers(0, 2**32))
def test_no_cycle_even_when_entries_disagree_on_who_is_live(count, seed):
    rng = random.Random(seed)
    everyone = [make(n) for n in range(count)]
    parent_of = {}
    for own in everyone:
        seen = [m for m in everyone if rng.random() < 0.5]
        parent_of[own.link_address] = tree.candidates(own, seen, CONTROL)[0]
    for start in parent_of:
        at, hops = start, 0
        while at in parent_of:
            at, hops = parent_of[at], hops + 1
            assert hops <= count


def test_target_size_needs_two_connections_per_domain_and_depth_two():
    """Guards the limit of 16 control instances at 5,400 nodes: 95 entries per domain."""
    everyone = [make(n) for n in range(95)]
    first = collections.Counter(tree.candidates(m, everyone, CONTROL)[0] for m in everyone)
    assert sum(first[address] for address in CONTROL) == tree.HEADS
    assert max(first.values()) <= tree.FAN_OUT
    assert tree.depth(95) == 2


def test_entry_that_is_down_is_no_parent():
    everyone = [make(n) for n in range(10)]
    own = max(everyone, key=lambda m: tree._order_key(m.name))
    best = tree.candidates(own, everyone, CONTROL)[0]
    without = [m if m.link_address != best else make(int(m.name[1:]), "down") for m in everyone]
    assert best not in tree.candidates(own, without, CONTROL)
    assert tree.candidates(own, everyone, CONTROL)[-3:] == tree.candidates(own, [], CONTROL)
