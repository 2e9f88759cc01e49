"""Guards against old status reports that hide newer ones."""

from oriolelock.distribution import messages, reports


def report(name, version, age_s=0.0):
    return messages.StatusReport(name, version, version, "ready", 0.0, 0, age_s)


def test_older_report_by_another_way_is_ignored():
    heard = reports.Reports()
    heard.take(messages.StatusBatch((report("a", 2, 1.0),)), 100.0, relay=True)
    heard.take(messages.StatusBatch((report("a", 1, 5.0),)), 101.0, relay=False)
    assert heard.find("a").report.version == 2
    assert heard.ages(102.0) == {"a": 3.0}


def test_relayed_report_carries_its_age_and_is_relayed_once():
    heard = reports.Reports()
    heard.take(messages.StatusBatch((report("a", 2, 1.0),)), 100.0, relay=True)
    heard.take(messages.StatusBatch((report("b", 2),)), 100.0, relay=False)
    assert heard.take_fresh(100.5).reports == (report("a", 2, 1.5),)
    assert heard.take_fresh(101.0).reports == ()


def test_instances_that_left_are_forgotten():
    heard = reports.Reports()
    heard.take(messages.StatusBatch((report("a", 2),)), 100.0, relay=False)
    heard.take_fresh(101.0 + reports.FORGET_AFTER_S)
    assert heard.find("a") is None
