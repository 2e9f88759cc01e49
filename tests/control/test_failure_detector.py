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


def test_silent_entry_is_set_down_and_live_when_it_reports_again():
    cfg = make_configuration({"a": "live", "b": "live", "c": "down", "d": "leaving"})
    detection = failure_detector.find_state_changes(cfg, {"a": 3.5, "b": 1.0, "c": 0.5}, 60.0)
    assert new_states(detection) == {"a": "down", "c": "live"}
    assert detection.held_back == ()


def test_entry_that_announces_its_stop_is_leaving_before_it_is_silent():
    # Otherwise other entries would return it to callers until 3 s after it stopped.
    cfg = make_configuration({"a": "live", "b": "live", "c": "down"})
    ages = dict.fromkeys("abc", 0.5)
    detection = failure_detector.find_state_changes(cfg, ages, 60.0, frozenset(["a", "c"]))
    assert new_states(detection) == {"a": "leaving"}
    assert new_states(failure_detector.find_state_changes(cfg, ages, 60.0)) == {"c": "live"}


def test_most_entries_silent_at_once_are_held_back():
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    detection = failure_detector.find_state_changes(cfg, {"a": 9.0, "b": 9.0, "c": 1.0}, 60.0)
    assert new_states(detection) == {}
    assert detection.held_back == ("a", "b")


def test_new_leader_waits_before_setting_entries_down():
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    assert (
        new_states(failure_detector.find_state_changes(cfg, {"b": 0.1, "c": 0.1, "a": 50.0}, 2.0))
        == {}
    )
    assert new_states(failure_detector.find_state_changes(cfg, {"b": 0.1, "c": 0.1}, 3.5)) == {
        "a": "down"
    }


def test_entries_that_fall_silent_within_one_interval_are_held_back():
    # If they were set down one by one, the rest would never be a silent majority.
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    detection = failure_detector.find_state_changes(cfg, {"a": 3.1, "b": 2.6, "c": 2.2}, 60.0)
    assert new_states(detection) == {}
    assert detection.held_back == ("a",)


def test_entry_that_reports_a_planned_stop_is_leaving():
    # Otherwise lookups would return it until 3 s after it stopped.
    cfg = make_configuration({"a": "live", "b": "live", "c": "live"})
    detection = failure_detector.find_state_changes(
        cfg, {"a": 0.5, "b": 0.5, "c": 3.5}, 60.0, {"a", "c"}
    )
    assert new_states(detection) == {"a": "leaving", "c": "down"}
