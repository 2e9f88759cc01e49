"""Entries that are named to callers of a failure domain."""

import itertools

from oriolelock.lookup import entry_choice
from oriolelock.model import configuration, member

ENTRIES = [
    member.Member(f"{domain}-{n}", "entry", "", "", domain[0], domain)
    for domain, n in itertools.product(("a1", "a2", "b1"), range(4))
]
CFG = configuration.Configuration(members={entry.name: entry for entry in ENTRIES})


def chosen(*leaving):
    return {entry.name for entry in entry_choice.choose(CFG, "h", "a", "a1", frozenset(leaving))}


def test_callers_are_sent_to_the_entries_of_their_failure_domain():
    assert chosen() == {f"a1-{n}" for n in range(4)}


def test_entry_that_is_leaving_is_left_out():
    assert chosen("a1-0") == {"a1-1", "a1-2", "a1-3"}


def test_callers_of_a_failure_domain_without_entries_are_sent_to_their_region():
    assert chosen(*(f"a1-{n}" for n in range(4))) == {f"a2-{n}" for n in range(4)}


def test_callers_of_a_region_without_entries_are_sent_to_another():
    leaving = [entry.name for entry in ENTRIES if entry.region == "a"]
    assert chosen(*leaving) == {f"b1-{n}" for n in range(4)}
