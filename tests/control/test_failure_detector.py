"""Guards against entries that are set down because the detecting replica is partitioned."""

import dataclasses

from oriolelock.control import failure_detector
from oriolelock.model import configuration, member


def make_configuration(states):
    members = {
        name: member.Member(name, "entry", "127.0.0.1:1", "", "perth", "p1", state)
        for name, state in states.items()
    }
    return dataclasses.replace(configuration.EMPTY, members=members)


def new_states(detection):
    return {change.member.name: change.member.state for change in detection.changes}


def detect(cfg, ages, leaving=frozenset()):
    """Detect failures on a replica that could hear all the while."""
    return failure_detector.find_state_changes(cfg, ages, ages, leaving)


def test_silent_entry_is_set_down_and_live_when_it_reports_again():
    cfg = make_configuration({"a": "live", "b": "live", "c": "down", "d": "leaving"})
    detection = detect(cfg, {"a": 3.5, "b": 1.0, "c": 0.5})
    assert new_states(detection) == {"a": "down", "c": "live"}
    assert detection.held_back == ()


def test_entry_that_announces_its_stop_is_leaving_before_it_is_silent():
    # Otherwise other entries would return it to callers until 3 s after it stopped.
    cfg = make_configuration({"a": "live", "b": "live", "c": "down"})
    ages = dict.fromkeys("abc", 0.5)
    detection = detect(cfg, ages, frozenset(["a", "c"]))
    assert new_states(detection) == {"a": "leaving"}
    assert new_states(detect(cfg, ages)) == {"c": "live"}


def test_most_entries_silent_at_once_are_held_back():
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    detection = detect(cfg, {"a": 9.0, "b": 9.0, "c": 1.0})
    assert new_states(detection) == {}
    assert detection.held_back == ("a", "b")


def test_entry_is_live_for_as_long_as_it_could_not_be_heard():
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    ages = {"a": 50.0, "b": 0.1, "c": 0.1}
    for silent_s, expected in (({"a": 2.0}, {}), ({}, {}), ({"a": 3.5}, {"a": "down"})):
        detection = failure_detector.find_state_changes(cfg, ages, silent_s)
        assert new_states(detection) == expected


def test_entry_that_is_down_needs_a_new_report_to_be_live():
    """A new leader has counted little of its silence."""
    cfg = make_configuration({"a": "down", "b": "live", "c": "live"})
    ages = {"a": 50.0, "b": 0.1, "c": 0.1}
    assert new_states(failure_detector.find_state_changes(cfg, ages, {"a": 0.5})) == {}


def test_entries_that_fall_silent_within_one_interval_are_held_back():
    # If they were set down one by one, the rest would never be a silent majority.
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    detection = detect(cfg, {"a": 3.1, "b": 2.6, "c": 2.2})
    assert new_states(detection) == {}
    assert detection.held_back == ("a",)


def test_entry_that_reports_a_planned_stop_is_leaving():
    # Otherwise lookups would return it until 3 s after it stopped.
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    detection = detect(cfg, {"a": 0.5, "b": 0.5, "c": 3.5}, {"a", "c"})
    assert new_states(detection) == {"a": "leaving", "c": "down"}


def test_late_entries_are_named_unless_most_are_late():
    """Then they say more of the replica that listens, and would be many to tell of."""
    cfg = make_configuration({"a": "live", "b": "live", "c": "live", "d": "down"})
    silent_s = {"a": 2.5, "b": 1.5, "d": 60.0}
    assert failure_detector.find_late(cfg, silent_s) == ("a",)
    assert failure_detector.find_late(cfg, {**silent_s, "b": 2.5}) == ()
