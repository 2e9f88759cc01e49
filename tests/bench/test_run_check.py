"""Guards against a check that finds nothing although a promise was broken."""

import pytest

from oriolelock.bench import caller, run_check

RUN = {"endpoint": "e", "request_id": "1", "digest": "d"}


def sent(outcome="complete", key="k", is_own=True, run_by=("e", "1")):
    result = caller.Result(outcome, "", 200, 1.0, "entry", 1, is_own, run_by)
    return run_check.Sent("s", "o", "d", key, result)


@pytest.mark.parametrize(
    ("items", "runs", "word"),
    [
        ([sent()], [RUN, {**RUN, "request_id": "2"}], "ran 2 times"),
        ([sent("not-run")], [RUN], "but ran"),
        ([sent(is_own=False)], [RUN], "not its own"),
        ([sent(run_by=("e", "2"))], [RUN], "not its own"),
        ([sent()], [], "not its own"),
    ],
)
def test_broken_promise_is_found(items, runs, word):
    faults = run_check.find_faults(items, runs)
    assert len(faults) == 1 and word in faults[0]


def test_good_runs_are_no_fault():
    assert run_check.find_faults([sent(), sent()], [RUN]) == []
    assert run_check.find_faults([sent("unknown")], [RUN]) == []
    idempotent = [sent(key=None), sent("not-run", key=None)]
    assert run_check.find_faults(idempotent, [RUN, {**RUN, "request_id": "2"}]) == []
