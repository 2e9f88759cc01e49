"""Guards against work for dead or slow endpoints, and against ejecting too many."""

from oriolelock.routing import ejection


def make(count=4):
    result = ejection.Ejector()
    result.configure([f"e{n}" for n in range(count)])
    return result


def fail(ejector, name, times=ejection.MAX_FAILURES, now=0.0):
    for _ in range(times):
        ejector.failed(name, now)


def test_only_consecutive_failures_eject():
    ejector = make()
    for _ in range(10):
        fail(ejector, "e0", ejection.MAX_FAILURES - 1)
        ejector.succeeded("e0", 1.0, 0.0)
    assert not ejector.out
    fail(ejector, "e0")
    assert ejector.out == {"e0"}


def test_failures_eject_at_most_half_but_refused_connections_all():
    ejector = make()
    for n in range(4):
        fail(ejector, f"e{n}")
    assert len(ejector.out) == 2
    ejector.refused("e2", 0.0)
    ejector.refused("e3", 0.0)
    assert len(ejector.out) == 4


def test_slow_outlier_is_ejected():
    ejector = make()
    for _ in range(ejection.MAX_SLOW):
        ejector.succeeded("e0", 4.0, 0.0)
    assert ejector.out == {"e0"}


def time_out_s(ejector, name, now):
    step = 0
    while not ejector.may_probe(name, True, now + step * 0.5):
        step += 1
    return step * 0.5


def test_each_failed_probe_doubles_the_ejection_up_to_its_limit():
    ejector, now, lengths = make(), 0.0, []
    ejector.refused("e0", now)
    for _ in range(6):
        lengths.append(time_out_s(ejector, "e0", now))
        now += lengths[-1]
        ejector.probe_started("e0", now)
        assert not ejector.may_probe("e0", True, now)
        ejector.refused("e0", now)
    assert lengths == [1, 2, 4, 8, 10, 10]


def test_late_success_of_an_older_request_does_not_end_an_ejection():
    ejector = make()
    ejector.refused("e0", 0.0)
    assert not ejector.succeeded("e0", 1.0, 0.1) and ejector.out
    ejector.probe_started("e0", 1.0)
    assert ejector.succeeded("e0", 1.0, 1.1) and not ejector.out


def test_request_that_must_not_run_twice_probes_only_where_nothing_listened():
    ejector = make()
    fail(ejector, "e0")
    ejector.refused("e1", 0.0)
    assert ejector.may_probe("e1", False, 6.0) and not ejector.may_probe("e0", False, 6.0)
    assert ejector.may_probe("e0", True, 6.0) and ejector.may_probe("e0", False, 20.0)


def test_death_by_a_crashing_request_does_not_lengthen_ejections():
    ejector = make()
    for n in range(5):
        ejector.crashed("e0", n * 2.0)
        ejector.probe_started("e0", n * 2.0 + 1)
        ejector.succeeded("e0", 1.0, n * 2.0 + 1)
    ejector.refused("e0", 20.0)
    assert time_out_s(ejector, "e0", 20.0) == 1


def test_report_after_the_ejection_brings_back_an_endpoint_nobody_probes():
    ejector = make()
    ejector.refused("e0", 0.0)
    assert not ejector.heard("e0", 0.5, 2.0), "measured before the end"
    assert ejector.heard("e0", 1.5, 2.0) and not ejector.out
    fail(ejector, "e1")
    assert not ejector.heard("e1", 30.0, 30.0), "a report does not disprove failures"


def test_probe_without_an_end_does_not_block_further_probes():
    ejector = make()
    ejector.refused("e0", 0.0)
    ejector.probe_started("e0", 1.0)
    ejector.probe_ended("e0")
    assert ejector.may_probe("e0", True, 1.0)
    ejector.probe_started("e0", 1.0)
    assert ejector.may_probe("e0", True, 32.0)
