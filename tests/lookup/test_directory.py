"""Guards against look-ups that name entries callers can't use, or all the same ones."""

import collections
import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.lookup import directory
from oriolelock.model import configuration, drain, member

REGIONS = ("perth", "bunbury")


def make(name, region="perth", domain="a", state="live"):
    return member.Member(name, "entry", "10.0.0.1:80", "", region, f"{region}-{domain}", state)


def config(*members, drains=()):
    return configuration.Configuration(
        members={m.name: m for m in members}, drains={d.drain_id: d for d in drains}
    )


def choose(cfg, client="10.1.2.3", region="perth", now=100.0):
    return directory.Directory(cfg).choose(region, "proofs", now, client)


FLEET = [
    make(f"{region}-{domain}-{n}", region, domain)
    for region in REGIONS
    for domain in "ab"
    for n in range(3)
]


def test_two_failure_domains_then_another_region():
    chosen = choose(config(*FLEET))
    assert [m.region for m in chosen] == ["perth", "perth", "bunbury"]
    assert chosen[0].failure_domain != chosen[1].failure_domain


def test_callers_spread_and_a_block_stays_together():
    cfg = config(*FLEET)
    first = collections.Counter(choose(cfg, f"10.1.{n}.9")[0].name for n in range(250))
    assert len(first) == 6
    assert max(first.values()) < 2 * 250 / 6
    assert choose(cfg, "10.1.7.1") == choose(cfg, "10.1.7.200")


def test_losing_one_entry_moves_only_its_callers():
    gone = FLEET[0].name
    smaller = config(*(m for m in FLEET if m.name != gone))
    for n in range(100):
        before = choose(config(*FLEET), f"10.1.{n}.9")
        if gone not in [m.name for m in before]:
            assert choose(smaller, f"10.1.{n}.9") == before


@pytest.mark.parametrize("state", ["leaving", "down"])
def test_leaving_and_down_entries_are_left_out(state):
    cfg = config(make("x", state=state), make("y"), make("z", "bunbury", state=state))
    assert [m.name for m in choose(cfg)] == ["y"]


def test_rings_are_reused_only_for_the_same_members():
    """A change of a preset must not rebuild the rings of thousands of members."""
    cfg = config(*FLEET)
    first = directory.Directory(cfg)
    later = directory.Directory(dataclasses.replace(cfg, version=9), first)
    assert later._all is first._all
    smaller = dataclasses.replace(cfg, members={m.name: m for m in FLEET[1:]})
    chosen = directory.Directory(smaller, first).choose("perth", "proofs", 0.0, "10.1.2.3")
    assert chosen == choose(smaller)


def test_leaving_entry_is_better_than_none():
    cfg = config(make("x", state="leaving"), make("y", state="down"))
    assert [m.name for m in choose(cfg)] == ["x"]


def test_entry_known_to_leave_is_left_out_before_it_is_committed():
    cfg = config(make("x"), make("y"))
    chosen = directory.Directory(cfg).choose("perth", "proofs", 0.0, "10.1.2.3", {"x"})
    assert [m.name for m in chosen] == ["y"]


def test_drained_entry_is_left_out_from_its_start():
    planned = drain.Drain("d", "entry", "x", 50.0, 60.0)
    cfg = config(make("x"), make("y"), drains=[planned])
    assert {m.name for m in choose(cfg, now=49.0)} == {"x", "y"}
    assert {m.name for m in choose(cfg, now=50.0)} == {"y"}
    assert {m.name for m in choose(config(make("x"), drains=[planned]), now=50.0)} == {"x"}


def test_region_without_entries_gets_others():
    assert len(choose(config(*FLEET), region="geraldton")) == 3


def test_control_replicas_are_not_named():
    control = member.Member("c", "control", "10.0.0.1:80", "", "perth", "perth-a")
    assert choose(config(control)) == ()


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(REGIONS),
            st.sampled_from("ab"),
            st.sampled_from(["live", "leaving", "down"]),
        ),
        max_size=8,
    ),
    st.ip_addresses(),
)
def test_always_some_and_never_the_same_twice(fleet, client):
    members = [make(f"m{n}", *item) for n, item in enumerate(fleet)]
    chosen = choose(config(*members), str(client))
    assert bool(chosen) == bool(members)
    assert len({m.name for m in chosen}) == len(chosen) <= 3
    if any(m.state == "live" for m in members):
        assert all(m.state == "live" for m in chosen)
