"""Tests that older status reports never replace newer ones."""

from oriolelock.distribution import messages, reports


def make_report(name, version, age_s=0.0):
    return messages.StatusReport(name, version, version, "ready", 0.0, 0, age_s)


def test_older_report_over_another_path_is_ignored():
    latest = reports.Reports()
    latest.take(messages.StatusBatch((make_report("a", 2, 1.0),)), 100.0, relay=True)
    latest.take(messages.StatusBatch((make_report("a", 1, 5.0),)), 101.0, relay=False)
    assert latest.find("a").report.version == 2
    assert latest.ages(102.0) == {"a": 3.0}


def test_relayed_report_carries_its_age_and_is_relayed_once():
    latest = reports.Reports()
    latest.take(messages.StatusBatch((make_report("a", 2, 1.0),)), 100.0, relay=True)
    latest.take(messages.StatusBatch((make_report("b", 2),)), 100.0, relay=False)
    assert latest.take_unrelayed(100.5).reports == (make_report("a", 2, 1.5),)
    assert latest.take_unrelayed(101.0).reports == ()


def test_reports_of_instances_that_left_are_removed():
    latest = reports.Reports()
    latest.take(messages.StatusBatch((make_report("a", 2),)), 100.0, relay=False)
    latest.take_unrelayed(101.0 + reports.FORGET_AFTER_S)
    assert latest.find("a") is None


def test_status_of_a_process_never_goes_back():
    """A report that waited in the socket of a frozen replica looks new when it is read."""
    known = reports.Reports()
    for index, version, at_s in ((40, 19, 100.0), (38, 18, 101.0)):
        report = messages.StatusReport("a", version, index, "live", 5.0, 0)
        known.take(messages.StatusBatch((report,)), at_s, relay=False)
    assert known.find("a").report.index == 40
    # The process started again, without a configuration so far.
    restarted = messages.StatusReport("a", 0, 0, "live", 7.0, 0)
    known.take(messages.StatusBatch((restarted,)), 102.0, relay=False)
    assert known.find("a").report == restarted
