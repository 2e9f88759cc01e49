"""Guards against lookups that return unusable entries, or the same ones for all clients."""

import collections
import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.lookup import directory
from oriolelock.model import configuration, drain, member

REGIONS = ("perth", "bunbury")


def make_entry(name, region="perth", domain="a", state="live"):
    return member.Member(name, "entry", "10.0.0.1:80", "", region, f"{region}-{domain}", state)


def make_config(*members, drains=()):
    return configuration.Configuration(
        members={m.name: m for m in members}, drains={d.drain_id: d for d in drains}
    )


def choose(cfg, client="10.1.2.3", region="perth", now=100.0):
    return directory.Directory(cfg).choose(region, "proofs", now, client)


ALL_ENTRIES = [
    make_entry(f"{region}-{domain}-{n}", region, domain)
    for region in REGIONS
    for domain in "ab"
    for n in range(3)
]


def test_two_failure_domains_then_another_region():
    chosen = choose(make_config(*ALL_ENTRIES))
    assert [m.region for m in chosen] == ["perth", "perth", "bunbury"]
    assert chosen[0].failure_domain != chosen[1].failure_domain


def test_clients_spread_but_a_block_gets_the_same_entries():
    cfg = make_config(*ALL_ENTRIES)
    first_entries = collections.Counter(choose(cfg, f"10.1.{n}.9")[0].name for n in range(250))
    assert len(first_entries) == 6
    assert max(first_entries.values()) < 2 * 250 / 6
    assert choose(cfg, "10.1.7.1") == choose(cfg, "10.1.7.200")


def test_removing_an_entry_moves_only_its_clients():
    removed = ALL_ENTRIES[0].name
    smaller = make_config(*(m for m in ALL_ENTRIES if m.name != removed))
    for n in range(100):
        before = choose(make_config(*ALL_ENTRIES), f"10.1.{n}.9")
        if removed not in [m.name for m in before]:
            assert choose(smaller, f"10.1.{n}.9") == before


@pytest.mark.parametrize("state", ["leaving", "down"])
def test_leaving_and_down_entries_are_left_out(state):
    cfg = make_config(
        make_entry("x", state=state), make_entry("y"), make_entry("z", "bunbury", state=state)
    )
    assert [m.name for m in choose(cfg)] == ["y"]


def test_rings_are_reused_only_for_the_same_members():
    """A preset change must not rebuild the hash rings of thousands of members."""
    cfg = make_config(*ALL_ENTRIES)
    first = directory.Directory(cfg)
    rebuilt = directory.Directory(dataclasses.replace(cfg, version=9), first)
    assert rebuilt._all_regions_ring is first._all_regions_ring
    smaller = dataclasses.replace(cfg, members={m.name: m for m in ALL_ENTRIES[1:]})
    chosen = directory.Directory(smaller, first).choose("perth", "proofs", 0.0, "10.1.2.3")
    assert chosen == choose(smaller)


def test_leaving_entry_is_used_if_there_is_no_other():
    cfg = make_config(make_entry("x", state="leaving"), make_entry("y", state="down"))
    assert [m.name for m in choose(cfg)] == ["x"]


def test_entry_known_to_leave_is_left_out_before_it_is_committed():
    cfg = make_config(make_entry("x"), make_entry("y"))
    chosen = directory.Directory(cfg).choose("perth", "proofs", 0.0, "10.1.2.3", {"x"})
    assert [m.name for m in chosen] == ["y"]


def test_drained_entry_is_left_out_from_its_start():
    planned_drain = drain.Drain("d", "entry", "x", 50.0, 60.0)
    cfg = make_config(make_entry("x"), make_entry("y"), drains=[planned_drain])
    assert {m.name for m in choose(cfg, now=49.0)} == {"x", "y"}
    assert {m.name for m in choose(cfg, now=50.0)} == {"y"}
    assert {
        m.name for m in choose(make_config(make_entry("x"), drains=[planned_drain]), now=50.0)
    } == {"x"}


def test_region_without_entries_gets_entries_of_other_regions():
    assert len(choose(make_config(*ALL_ENTRIES), region="geraldton")) == 3


def test_control_replicas_are_not_returned():
    control = member.Member("c", "control", "10.0.0.1:80", "", "perth", "perth-a")
    assert choose(make_config(control)) == ()


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
def test_result_is_never_empty_and_has_no_duplicates(entry_specs, client):
    members = [make_entry(f"m{n}", *spec) for n, spec in enumerate(entry_specs)]
    chosen = choose(make_config(*members), str(client))
    assert bool(chosen) == bool(members)
    assert len({m.name for m in chosen}) == len(chosen) <= 3
    if any(m.state == "live" for m in members):
        assert all(m.state == "live" for m in chosen)
