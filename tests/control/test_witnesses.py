"""Guards against lost entries that stay in lookups, and against living ones that leave them."""

import pytest

from oriolelock.control import failure_detector, witnesses
from oriolelock.distribution import messages, reports
from tests.control import test_failure_detector

NAMES = "abcde"
CFG = test_failure_detector.make_configuration(dict.fromkeys(NAMES, "live"))


class Replica:
    """Judges entries four times a second; ``silent_s`` counts all the time that it runs."""

    def __init__(self):
        self.now = 100.0
        self.known, self.witnesses = reports.Reports(), witnesses.Witnesses()
        self.silent_s = dict.fromkeys(NAMES, 0.0)
        self.down_s = {}

    def run(self, duration_s, reporting=NAMES, is_running=True, is_confirmed=True):
        """Let time pass; ``reporting``: entries whose reports arrive, one each second."""
        end_s = self.now + duration_s
        while self.now < end_s - 1e-6:
            self.now += 0.25
            if not is_running:
                continue
            for number, name in enumerate(reporting):
                if round(self.now * 4) % 4 == number % 4:
                    report = messages.StatusReport(name, 1, round(self.now * 4), "live", 0.0, 0)
                    self.known.take(messages.StatusBatch((report,)), self.now, relay=False)
                    self.silent_s[name] = 0.0
            if is_confirmed:
                self.silent_s = {name: s + 0.25 for name, s in self.silent_s.items()}
            self.witnesses.advance(NAMES, self.known, self.now)
            heard = self.witnesses.names(self.now)
            found = failure_detector.find_state_changes(
                CFG, self.known.ages(self.now), self.silent_s, witnesses=heard
            )
            for change in found.changes:
                self.down_s.setdefault(change.member.name, self.now)


@pytest.fixture
def replica():
    started = Replica()
    started.run(6.0)
    assert not started.down_s
    return started


@pytest.mark.parametrize("living", ["a", "ab", "abc", "abcd"])
def test_any_number_of_lost_entries_leaves_lookups_beside_one_that_is_heard(replica, living):
    """Guards against a majority of lost entries that callers are sent to for good."""
    lost_s = replica.now
    replica.run(6.0, living)
    assert set(replica.down_s) == set(NAMES) - set(living)
    assert max(replica.down_s.values()) - lost_s <= 5.0


def test_entries_that_are_lost_one_after_the_other_leave_lookups(replica):
    for living in ("abcd", "abc", "ab", "a"):
        replica.run(1.25, living)
    replica.run(4.0, "a")
    assert set(replica.down_s) == set("bcde")


def test_entries_stay_if_none_is_heard(replica):
    """A replica that hears nobody is cut off itself."""
    replica.run(30.0, "")
    assert not replica.down_s


@pytest.mark.parametrize("pause_s", [2.5, 5.0, 20.0])
@pytest.mark.parametrize("first_back", ["a", "ab"])
def test_entries_that_come_back_after_a_pause_of_control_stay(replica, pause_s, first_back):
    """All of control was frozen; some entries find it again sooner than others."""
    replica.run(pause_s, is_running=False)
    replica.run(1.25, first_back)
    replica.run(5.0)
    assert not replica.down_s


@pytest.mark.parametrize("first_back", ["a", "ab"])
def test_entries_that_come_back_after_a_time_without_a_leader_stay(replica, first_back):
    """Entries that can't be confirmed leave their replicas, and report to nobody meanwhile."""
    replica.run(4.0, "", is_confirmed=False)
    replica.run(1.25, first_back)
    replica.run(5.0)
    assert not replica.down_s


def test_entries_that_are_lost_beside_control_leave_lookups_once_others_were_heard(replica):
    replica.run(3.0, "", is_confirmed=False)
    back_s = replica.now
    replica.run(6.0, "ab")
    assert set(replica.down_s) == set("cde")
    assert max(replica.down_s.values()) - back_s <= 5.25


def test_a_report_that_waited_for_this_replica_is_no_witness():
    heard = Replica()
    for _ in range(4):
        heard.run(1.0, "a")
        heard.run(2.5, is_running=False)
    heard.run(0.5, "a")
    assert not heard.witnesses.names(heard.now)


def test_an_entry_with_a_gap_is_a_witness_again_after_a_while(replica):
    replica.run(2.5, "bcde")
    replica.run(2.5)
    assert replica.witnesses.names(replica.now) == set("bcde")
    replica.run(2.0)
    assert replica.witnesses.names(replica.now) == set(NAMES)


def test_late_entries_are_told_if_another_one_was_heard_all_the_while():
    late = dict.fromkeys("bcde", 2.5)
    assert failure_detector.find_late(CFG, late, frozenset("a")) == tuple("bcde")
    assert failure_detector.find_late(CFG, late, frozenset("b")) == ()
