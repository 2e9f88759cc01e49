"""Guards against work sent to dead or slow endpoints, and against too many ejections."""

from oriolelock.routing import ejection


def make_ejector(count=4):
    ejector = ejection.Ejector()
    ejector.configure([f"e{n}" for n in range(count)])
    return ejector


def record_failures(ejector, name, times=ejection.MAX_CONSECUTIVE_FAILURES, now=0.0):
    for _ in range(times):
        ejector.record_failure(name, now)


def test_only_consecutive_failures_eject():
    ejector = make_ejector()
    for _ in range(10):
        record_failures(ejector, "e0", ejection.MAX_CONSECUTIVE_FAILURES - 1)
        ejector.record_success("e0", 1.0, 0.0)
    assert not ejector.ejected
    record_failures(ejector, "e0")
    assert ejector.ejected == {"e0"}


def test_failures_eject_at_most_half_but_refused_connections_all():
    ejector = make_ejector()
    for n in range(4):
        record_failures(ejector, f"e{n}")
    assert len(ejector.ejected) == 2
    ejector.record_refusal("e2", 0.0)
    ejector.record_refusal("e3", 0.0)
    assert len(ejector.ejected) == 4


def test_slow_outlier_is_ejected():
    ejector = make_ejector()
    for _ in range(ejection.MAX_CONSECUTIVE_SLOW):
        ejector.record_success("e0", 4.0, 0.0)
    assert ejector.ejected == {"e0"}


def ejection_length_s(ejector, name, now):
    half_seconds = 0
    while not ejector.may_probe(name, True, now + half_seconds * 0.5):
        half_seconds += 1
    return half_seconds * 0.5


def test_each_failed_probe_doubles_the_ejection_up_to_its_limit():
    ejector, now, lengths = make_ejector(), 0.0, []
    ejector.record_refusal("e0", now)
    for _ in range(6):
        lengths.append(ejection_length_s(ejector, "e0", now))
        now += lengths[-1]
        ejector.record_probe_start("e0", now)
        assert not ejector.may_probe("e0", True, now)
        ejector.record_refusal("e0", now)
    assert lengths == [1, 2, 4, 8, 10, 10]


def test_late_success_of_an_older_request_does_not_end_an_ejection():
    ejector = make_ejector()
    ejector.record_refusal("e0", 0.0)
    assert not ejector.record_success("e0", 1.0, 0.1) and ejector.ejected
    ejector.record_probe_start("e0", 1.0)
    assert ejector.record_success("e0", 1.0, 1.1) and not ejector.ejected


def test_non_idempotent_request_probes_only_after_refused_connections():
    ejector = make_ejector()
    record_failures(ejector, "e0")
    ejector.record_refusal("e1", 0.0)
    assert ejector.may_probe("e1", False, 6.0) and not ejector.may_probe("e0", False, 6.0)
    assert ejector.may_probe("e0", True, 6.0) and ejector.may_probe("e0", False, 20.0)


def test_crash_caused_by_a_request_does_not_lengthen_ejections():
    ejector = make_ejector()
    for n in range(5):
        ejector.record_crash("e0", n * 2.0)
        ejector.record_probe_start("e0", n * 2.0 + 1)
        ejector.record_success("e0", 1.0, n * 2.0 + 1)
    ejector.record_refusal("e0", 20.0)
    assert ejection_length_s(ejector, "e0", 20.0) == 1


def test_report_after_the_ejection_readmits_an_endpoint_without_probes():
    ejector = make_ejector()
    ejector.record_refusal("e0", 0.0)
    assert not ejector.record_load_report("e0", 0.5, 2.0), "measured before the ejection ended"
    assert ejector.record_load_report("e0", 1.5, 2.0) and not ejector.ejected
    record_failures(ejector, "e1")
    assert not ejector.record_load_report("e1", 30.0, 30.0), "a report does not disprove failures"


def test_probe_without_a_result_does_not_block_further_probes():
    ejector = make_ejector()
    ejector.record_refusal("e0", 0.0)
    ejector.record_probe_start("e0", 1.0)
    ejector.record_probe_end("e0")
    assert ejector.may_probe("e0", True, 1.0)
    ejector.record_probe_start("e0", 1.0)
    assert ejector.may_probe("e0", True, 32.0)
