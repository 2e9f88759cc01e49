"""Guards against parents that pass on an old confirmation as a new one, so that ages add up."""

import time

import pytest

from oriolelock import clock
from oriolelock.distribution import parent_finder, uplink
from oriolelock.wire import channel
from tests import waiting
from tests.distribution import tree_rig

# 2.5 s from the acknowledgement, less a fifth for agreement and distant regions.
IN_USE_S = 2.5 * 4 / 5
SETTLE_S = 1.2
# Until an entry of cf3006d stopped to confirm its children without a word from its parent.
OLDER_TRUST_S = 0.9 + 1.0


def make_chain(hops):
    """Return entries of which each prefers the one before, and a second replica after it."""
    names = [f"e{n}" for n in range(hops + 1)]
    order = {"e0": ["r0", "r1"]}
    order |= {name: [parent, "r1"] for parent, name in zip(names, names[1:], strict=False)}
    tree = tree_rig.Tree(["r0", "r1"], order)
    waiting.until(lambda: all(tree.parent_of(n) == order[n][0] for n in names), what="the chain")
    tree.wait_for_spares()
    time.sleep(SETTLE_S)
    return tree


def check_in_use(tree, index, acked_s, names=None):
    names = names or list(tree.entries)
    while time.monotonic() < acked_s + IN_USE_S and any(
        tree.entries[name].used_after(index, acked_s) is None for name in names
    ):
        time.sleep(0.01)
    late = {name: tree.entries[name].used_after(index, acked_s) for name in names}
    assert {name: value for name, value in late.items() if value is None or value > IN_USE_S} == {}


def check_in_use_below_first(tree):
    """Cut the first entry off from control, make a change, and wait for it at the others."""
    for parent in ("r0", "r1"):
        tree.link("e0", parent).hold()
    time.sleep(0.05)
    index, acked_s = tree.commit()
    check_in_use(tree, index, acked_s, list(tree.entries)[1:])


@pytest.mark.parametrize("hops", [1, 2, 3, 4])
def test_a_replica_is_cut_off_from_the_leader(hops):
    tree = make_chain(hops)
    try:
        tree.replicas["r0"].is_cut = True
        time.sleep(0.05)
        check_in_use(tree, *tree.commit())
    finally:
        tree.close()


@pytest.mark.parametrize("hops", [1, 2, 3, 4])
def test_a_replica_falls_silent(hops):
    tree = make_chain(hops)
    try:
        tree.link("e0", "r0").hold()
        time.sleep(0.05)
        check_in_use(tree, *tree.commit())
    finally:
        tree.close()


@pytest.mark.parametrize("hops", [1, 3])
def test_the_first_entry_is_cut_off_from_control(hops):
    """It goes on to serve its children, which are in touch."""
    tree = make_chain(hops)
    try:
        check_in_use_below_first(tree)
    finally:
        tree.close()


def test_a_link_is_slow():
    """Messages may go on to arrive every half a second, each of them seconds old."""
    tree = make_chain(2)
    try:
        link = tree.link("e0", "r0")
        # Slowly enough that no silence shows it.
        while link.delay_s < 3.0:
            link.delay_s += 0.03
            time.sleep(0.1)
        time.sleep(1.0)
        check_in_use(tree, *tree.commit())
    finally:
        tree.close()


@pytest.mark.parametrize("delay_s", [0.25, 0.4])
def test_a_parent_is_lost_while_each_answer_takes_long(delay_s):
    """Guards against attempts that are given up before answers over a full link can arrive."""
    tree = make_chain(1)
    try:
        for parent in ("e0", "r1"):
            tree.link("e1", parent).delay_s = delay_s
        time.sleep(SETTLE_S)
        tree.link("e1", "e0").hold()
        index, acked_s = tree.commit()
        entry = tree.entries["e1"]
        # The upgrade, then the greeting with the subscription behind it.
        found_s = uplink.SUSPECT_RELAY_AFTER_S + 2 * 2 * delay_s + 0.3
        waiting.until(lambda: entry.used_after(index, acked_s) is not None, 6.0)
        assert entry.used_after(index, acked_s) < found_s
    finally:
        tree.close()


@pytest.mark.parametrize("pause_s", [0.0, 1.5, 3.0])
def test_a_link_becomes_slow_at_once(pause_s):
    tree = make_chain(2)
    try:
        tree.link("e1", "e0").delay_s = 3.0
        time.sleep(pause_s)
        check_in_use(tree, *tree.commit())
    finally:
        tree.close()


def test_a_connection_is_dead_while_new_ones_to_the_only_parent_work():
    tree = tree_rig.Tree(["r0"], {"e0": ["r0"]})
    try:
        waiting.until(lambda: tree.parent_of("e0") == "r0")
        tree.link("e0", "r0").hold_open_connections()
        check_in_use(tree, *tree.commit())
    finally:
        tree.close()


def test_a_working_parent_is_kept_until_a_better_one_confirms(monkeypatch):
    """Guards against entries that give up their parent for one that does not answer."""
    monkeypatch.setattr(uplink, "REBALANCE_INTERVAL_S", 0.3)
    tree = tree_rig.Tree(["r0", "r1"], {"e0": ["r0", "r1"]})
    try:
        link = tree.link("e0", "r0")
        link.hold()
        waiting.until(lambda: tree.parent_of("e0") == "r1")
        monkeypatch.setattr(parent_finder, "FAILED_PARENT_PENALTY_S", 0.1)
        tree.entries["e0"].uplink._finder._avoid_until_s.clear()
        end_s = time.monotonic() + 3.0
        while time.monotonic() < end_s:
            assert tree.parent_of("e0") == "r1"
            time.sleep(0.01)
        link.release()
        parents = set()
        while "r0" not in parents:
            parents.add(tree.parent_of("e0"))
            assert time.monotonic() < end_s + 5.0
        index, acked_s = tree.commit()
        waiting.until(lambda: tree.entries["e0"].used_after(index, acked_s) is not None, 1.0)
    finally:
        tree.close()


def test_ages_are_counted_from_the_leader_on_at_each_hop():
    tree = make_chain(3)
    try:
        ages = []
        for _ in range(100):
            now = clock.monotonic_s()
            ages.append([e.uplink.control_age_s(now) for e in tree.entries.values()])
            time.sleep(0.02)
        assert max(map(max, ages)) < uplink.SUSPECT_AFTER_S
        tree.replicas["r0"].is_cut = tree.replicas["r1"].is_cut = True
        cut_s = clock.monotonic_s()
        time.sleep(2.0)
        now = clock.monotonic_s()
        for entry in tree.entries.values():
            assert entry.uplink.control_age_s(now) >= now - cut_s
    finally:
        tree.close()


@pytest.mark.parametrize("hops", [1, 2, 3])
def test_parents_of_an_older_build_tell_no_ages(monkeypatch, hops):
    """They return no pings either, so that their confirmations count by arrival or not at all."""
    monkeypatch.setattr(channel, "_select_subprotocol", lambda conn, offered: None)
    tree = make_chain(hops)
    try:
        time.sleep(2.0)
        assert [tree.parent_of(name) for name in tree.entries] == ["r0", *list(tree.entries)[:-1]]
        tree.link("e0", "r0").hold()
        time.sleep(0.05)
        check_in_use(tree, *tree.commit())
    finally:
        tree.close()


@pytest.mark.parametrize("hops", [1, 2])
def test_an_entry_of_an_older_build_is_cut_off_from_control(monkeypatch, hops):
    """As during an upgrade, when the entries below it are of this build."""
    monkeypatch.setattr(channel, "_select_subprotocol", lambda conn, offered: None)
    tree = make_chain(hops)
    head = tree.entries["e0"]
    head.trust_like_an_older_build(OLDER_TRUST_S)
    try:
        time.sleep(SETTLE_S)
        check_in_use_below_first(tree)
    finally:
        tree.close()


def test_confirmations_that_waited_are_as_old_as_they_are():
    """As after a pause of the process or of its parent, when what was sent before is read."""
    tree = tree_rig.Tree(["r0"], {"e0": ["r0"]})
    try:
        time.sleep(SETTLE_S)
        link = tree.link("e0", "r0")
        link.hold()
        time.sleep(0.5)
        tree.replicas["r0"].is_cut = True
        cut_s = clock.monotonic_s()
        time.sleep(0.6)
        link.release()
        end_s = time.monotonic() + 1.0
        while time.monotonic() < end_s:
            now = clock.monotonic_s()
            # A read that was confirmed after the cut had begun before it.
            assert tree.entries["e0"].uplink.control_age_s(now) >= now - cut_s
            time.sleep(0.01)
    finally:
        tree.close()
