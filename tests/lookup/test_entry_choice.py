"""Entries that are named to callers while some of them reach no endpoint."""

import itertools

from oriolelock.lookup import entry_choice
from oriolelock.model import configuration, member

ENTRIES = [
    member.Member(f"{domain}-{n}", "entry", "", "", domain[0], domain)
    for domain, n in itertools.product(("a1", "a2", "b1"), range(4))
]
CFG = configuration.Configuration(members={entry.name: entry for entry in ENTRIES})


def chosen(*cut_off):
    found = entry_choice.choose(CFG, "h", "a", "a1", frozenset(), frozenset(cut_off))
    return {entry.name for entry in found}


def test_callers_are_sent_to_the_entries_of_their_failure_domain():
    assert chosen() == {f"a1-{n}" for n in range(4)}


def test_entry_that_is_cut_off_is_left_out():
    assert chosen("a1-0") == {"a1-1", "a1-2", "a1-3"}


def test_callers_of_a_failure_domain_are_not_sent_to_its_last_few_entries():
    assert chosen("a1-0", "a1-1", "a1-2") == {"a1-3"} | {f"a2-{n}" for n in range(4)}
    assert chosen(*(f"a1-{n}" for n in range(4))) == {f"a2-{n}" for n in range(4)}


def test_callers_of_a_region_that_is_cut_off_are_sent_to_another():
    cut_off = [entry.name for entry in ENTRIES if entry.region == "a"]
    assert chosen(*cut_off) == {f"b1-{n}" for n in range(4)}


def test_entries_that_are_all_cut_off_are_named_all_the_same():
    assert chosen(*(entry.name for entry in ENTRIES)) == {entry.name for entry in ENTRIES}
