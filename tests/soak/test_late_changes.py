"""The check for changes that come late."""

from tests.soak import late_changes

USED = {"a": [(0.0, 1), (12.4, 3)], "b": [(0.0, 1), (12.6, 2)], "c": [(0.0, 1)]}


def find(hits=(), end_s=100.0):
    checked, late = late_changes.find_late([(10.0, 2)], USED, hits, end_s)
    return checked, [line.partition(":")[0] for line in late]


def test_entries_without_a_hit_must_use_a_change_in_time():
    assert find() == (3, ["b", "c"])


def test_an_entry_that_was_hit_in_the_time_of_contact_before_is_left_out():
    assert find([late_changes.Hit("b", 3.0, 6.1)]) == (2, ["c"])
    assert find([late_changes.Hit("b", 3.0, 5.9)]) == (3, ["b", "c"])
    assert find([late_changes.Hit("c", 12.0, 14.0)]) == (2, ["b"])


def test_a_change_may_be_later_when_the_leader_was_hit():
    assert find([late_changes.Hit("r", 9.0, 9.5, of_leader=True)]) == (3, ["c"])
    assert find([late_changes.Hit("r", 9.0, 9.5)]) == (3, ["b", "c"])


def test_changes_whose_bound_is_after_the_end_are_left_out():
    assert find(end_s=12.0) == (0, [])
