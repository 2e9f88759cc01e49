"""Guards against searches for a parent that take longer than a change may over full links."""

import time

import pytest

from oriolelock import clock
from oriolelock.distribution import uplink
from tests import waiting
from tests.distribution import tree_rig

# 2.5 s from the acknowledgement, less a fifth for agreement and distant regions.
IN_USE_S = 2.5 * 4 / 5
SETTLE_S = 2.0
# Each way; packets that wait for longer than half a second make an instance slow.
FULL_S = 0.25
HEADS, CHILDREN = 2, 8


def make_domain(children=1):
    """Return two heads below replicas of their own, and children of the first head."""
    replicas = [f"r{n}" for n in range(4)]
    order = {"e0": replicas, "e1": replicas[1:] + replicas[:1]}
    for n in range(children):
        order[f"e{HEADS + n}"] = ["e0", "e1", *replicas[n % 4 :], *replicas[: n % 4]]
    tree = tree_rig.Tree(replicas, order)
    waiting.until(lambda: all(tree.parent_of(n) == order[n][0] for n in order), what="the tree")
    tree.wait_for_spares()
    return tree


def slow_down(tree, name):
    for parent in tree.order[name]:
        tree.link(name, parent).delay_s = FULL_S


def used_after(tree, name, index, acked_s):
    entry = tree.entries[name]
    waiting.until(lambda: entry.used_after(index, acked_s) is not None, 8.0)
    return entry.used_after(index, acked_s)


@pytest.mark.parametrize("pause_s", [0.0, 0.3, 0.7, 1.1])
@pytest.mark.parametrize("name", ["e0", "e2"])
def test_a_parent_is_lost_while_all_links_of_an_entry_are_full(name, pause_s):
    tree = make_domain()
    try:
        slow_down(tree, name)
        time.sleep(SETTLE_S + pause_s)
        tree.link(name, tree.parent_of(name)).hold()
        index, acked_s = tree.commit()
        assert used_after(tree, name, index, acked_s) < IN_USE_S
    finally:
        tree.close()


def test_a_head_is_lost_with_many_children():
    """Their spare connections confirm before others are tried."""
    tree = make_domain(CHILDREN)
    children = [name for name in tree.entries if name not in ("e0", "e1")]
    try:
        time.sleep(SETTLE_S)
        links = [tree.link(child, parent) for child in children for parent in tree.order[child]]
        connected = sum(link.accepted for link in links)
        for link in tree.links_of("e0"):
            link.hold()
        index, acked_s = tree.commit()
        assert max(used_after(tree, name, index, acked_s) for name in children) < IN_USE_S
        assert sum(link.accepted for link in links) - connected < CHILDREN
    finally:
        tree.close()


def test_a_parent_is_kept_while_the_link_to_it_is_full_in_the_other_direction():
    """A ping that waited makes all that comes later look as old as it is."""
    tree = tree_rig.Tree(["r0", "r1"], {"e0": ["r0", "r1"]})
    try:
        time.sleep(SETTLE_S)
        for parent in ("r0", "r1"):
            tree.link("e0", parent).up_delay_s = 2 * FULL_S
        end_s, ages = time.monotonic() + 10.0, []
        while time.monotonic() < end_s:
            ages.append(tree.entries["e0"].uplink.control_age_s(clock.monotonic_s()))
            assert tree.entries["e0"].uplink._search is None
            time.sleep(0.02)
        assert max(ages) < uplink.SUSPECT_AFTER_S
        assert tree.parent_of("e0") == "r0"
    finally:
        tree.close()
