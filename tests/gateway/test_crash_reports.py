"""Guards against crash reports that are lost with the connection to the parent."""

import threading
import time

import pytest

from oriolelock.distribution import errors
from oriolelock.gateway import crash_reports
from oriolelock.model import changes, crash_record
from tests import waiting


class Control:
    """Answers calls by the functions in ``answers``, the last one again and again."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    def call(self, payload, timeout_s):
        self.calls.append((time.monotonic(), payload, timeout_s))
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        return answer()


def lost():
    raise errors.Disconnected("connection to the parent ended")


def refused():
    raise errors.CallRefused("no leader")


@pytest.fixture
def make_reports():
    made = []

    def make(control):
        made.append(crash_reports.CrashReports(control.call))
        return made[-1]

    yield make
    for reports in made:
        reports.stop()


def test_a_report_is_sent_again_when_the_parent_is_lost(make_reports):
    control = Control(lost, lost, lambda: None)
    make_reports(control).send("key", "e1")
    waiting.until(lambda: len(control.calls) == 3)
    time.sleep(0.3)
    assert [call[1] for call in control.calls] == [changes.ReportCrash("key", "e1")] * 3


def test_a_refused_report_is_sent_again(make_reports):
    control = Control(refused, lambda: None)
    make_reports(control).send("key", "e1")
    waiting.until(lambda: len(control.calls) == 2)


def test_no_report_is_sent_or_waits_so_late_that_it_counts_as_another_death(make_reports):
    control = Control(lost)
    make_reports(control).send("key", "e1")
    time.sleep(crash_record.SAME_DEATH_S + 0.3)
    first_s = control.calls[0][0]
    assert len(control.calls) > 5
    for sent_s, _, timeout_s in control.calls:
        assert sent_s + timeout_s - first_s < crash_record.SAME_DEATH_S


def test_reports_over_the_limit_are_dropped(make_reports):
    going_on = threading.Event()
    control = Control(going_on.wait)
    reports = make_reports(control)
    accepted = [reports.send("key", f"e{n}") for n in range(crash_reports.MAX_REPORTS + 5)]
    assert accepted.count(False) == 5
    going_on.set()
    waiting.until(lambda: len(control.calls) == crash_reports.MAX_REPORTS)
    waiting.until(lambda: reports.send("key", "e"))
