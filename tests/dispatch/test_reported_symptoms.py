"""What other entries report of an endpoint decides only if two failure domains agree."""

from oriolelock.dispatch import observation, peer_reports, reported_symptoms
from tests.dispatch import builders

ENDPOINTS = [builders.make_endpoint(name) for name in ("x1", "x2", "x3")]


def make_chooser(domain_entry="e1"):
    return builders.make_chooser(builders.configure(ENDPOINTS), name=domain_entry)


def test_one_failure_domain_alone_is_not_believed():
    symptoms = reported_symptoms.ReportedSymptoms()
    for now in (0.0, 0.5, 1.0):
        symptoms.record_unreachable(1, now)
        symptoms.record_slowness(1, 8.0, now)
    assert not symptoms.is_unreachable(1.0)
    assert symptoms.slowness(1.0) == 1.0
    symptoms.record_unreachable(2, 1.0)
    symptoms.record_slowness(2, 5.0, 1.0)
    assert symptoms.is_unreachable(1.0)
    assert symptoms.slowness(1.0) == 5.0


def test_reports_are_forgotten_after_a_while_and_contact_ends_them_at_once():
    symptoms = reported_symptoms.ReportedSymptoms()
    for domain in (1, 2):
        symptoms.record_unreachable(domain, 0.0)
        symptoms.record_slowness(domain, 4.0, 0.0)
    assert not symptoms.is_unreachable(reported_symptoms.HOLD_S + 0.1)
    assert symptoms.slowness(reported_symptoms.HOLD_S + 0.1) == 1.0
    symptoms.record_contact()
    assert not symptoms.is_unreachable(0.1)


def test_impossible_ratios_are_bounded():
    symptoms = reported_symptoms.ReportedSymptoms()
    for domain in (1, 2):
        symptoms.record_slowness(domain, float("inf"), 0.0)
    assert symptoms.slowness(0.0) == reported_symptoms.MAX_RATIO


def choose(chooser, now):
    return chooser.choose(builders.make_context(), now)


def test_an_entry_avoids_an_endpoint_that_others_do_not_reach_without_trying_it():
    """Answers to the load of a failure of many endpoints, of which each entry would find out alone.

    Without the reports each of hundreds of entries loses a request at each dead endpoint.
    """
    chooser = make_chooser()
    home = choose(chooser, 0.0).view
    for domain in (7, 8):
        report = observation.UnreachableReport(peer_reports.view_digest(home), domain)
        chooser.peer_reports.apply_symptom(report, 0.1)
    second = choose(chooser, 0.2).view
    assert second is not home
    chooser.observed(chooser.learned(home, "", builders.make_load()), 0.3)
    assert choose(chooser, 0.3).view is home


def test_an_endpoint_that_all_fail_to_reach_is_still_used_if_there_is_no_other():
    chooser = builders.make_chooser(builders.configure(ENDPOINTS[:1]))
    view = chooser.views["x1"]
    for domain in (7, 8):
        report = observation.UnreachableReport(peer_reports.view_digest(view), domain)
        chooser.peer_reports.apply_symptom(report, 0.1)
    assert choose(chooser, 0.2).view is view


def test_an_entry_avoids_an_endpoint_that_others_find_slow():
    chooser = make_chooser()
    home = choose(chooser, 0.0).view
    for domain in (7, 8):
        report = observation.SlownessReport(peer_reports.view_digest(home), domain, 10.0)
        chooser.peer_reports.apply_symptom(report, 0.1)
    assert choose(chooser, 0.2).view is not home


def send(chooser, is_known, number=1):
    decision = choose(chooser, 0.0)
    if is_known:
        decision.view.record_object(builders.make_context().digest, 0.0)
        decision = choose(chooser, 0.0)
    chooser.started(decision, number, 0.0)
    return decision


def test_a_request_for_a_cached_object_that_takes_too_long_is_reported_once_an_interval():
    chooser = make_chooser()
    decision = send(chooser, True)
    expected_s = decision.wait_s + decision.service_s
    assert chooser.peer_reports.find_slow(1.5 * expected_s) == []
    late_s = 2.5 * expected_s
    (report,) = chooser.peer_reports.find_slow(late_s)
    assert report.endpoint_digest == peer_reports.view_digest(decision.view)
    assert report.ratio >= 2.0
    assert chooser.peer_reports.find_slow(late_s + 0.1) == []
    assert len(chooser.peer_reports.find_slow(late_s + peer_reports.REPORT_INTERVAL_S)) == 1


def test_the_first_run_of_an_object_is_not_taken_for_a_slow_endpoint():
    chooser = make_chooser()
    send(chooser, False)
    assert chooser.peer_reports.find_slow(5.0) == []


def test_an_endpoint_that_has_answered_is_not_reported():
    chooser = make_chooser()
    decision = send(chooser, True)
    decision.view.ended(1)
    assert chooser.peer_reports.find_slow(5.0) == []
