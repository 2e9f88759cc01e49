"""The checks of the soak catch each broken promise, and the plan depends on the seed alone."""

import dataclasses
import hashlib

import pytest

from tests.soak import ledger, plan


def run(name="a", endpoint="e", at_s=1.0, digest="h"):
    return ledger.Run(name, endpoint, at_s, digest)


def answer(name="a", idempotent=False, status=200, body=b"made", stamp="e"):
    return ledger.Answer(name, idempotent, status, body, stamp, 0.1, 2.0, "h")


def book(runs=(), answers=()):
    found = ledger.Ledger()
    for item in runs:
        found.add_run(item, b"made")
    for item in answers:
        found.add_answer(item)
    return found


def test_a_good_run_breaks_nothing():
    assert book([run()], [answer()]).broken() == []
    refused = answer("b", status=503, body=b"", stamp="")
    assert book([run()], [answer(), refused]).broken() == []


@pytest.mark.parametrize(
    ("found", "word"),
    [
        (book([run(), run(endpoint="f")], [answer()]), "twice"),
        (book([run()], [answer(status=503, body=b"", stamp="")]), "refused"),
        (book([run()], [answer(body=b"ma")]), "not the endpoint's"),
        (book([run()], [answer(stamp="")]), "not the endpoint's"),
        (book([run(digest="other")], [answer()]), "not as sent"),
        (book([run("z")], []), "not as sent"),
        (book([], [answer(status=-1)]), "no answer"),
    ],
)
def test_each_broken_promise_is_caught(found, word):
    assert any(line.startswith(word) for line in found.broken())


def test_only_a_pause_of_the_same_entry_excuses_a_missing_answer():
    late = ledger.Answer("a", False, -1, b"", "", 3.0, 2.0, "h", "entry", 10.0)
    found = book([], [late])
    found.pauses = [("other", 9.0, 14.0), ("entry", 2.0, 9.9), ("entry", 13.1, 15.0)]
    assert len(found.broken()) == 1
    found.pauses.append(("entry", 12.0, 15.0))
    assert not found.broken()


def test_work_for_a_leaving_endpoint_is_caught():
    found = book([run(at_s=20.0)], [answer()])
    found.leaving["e"] = 20.0 - ledger.DRAIN_S - 0.1
    assert found.broken()
    found.leaving["e"] = 20.0 - ledger.DRAIN_S + 0.1
    assert not found.broken()


def test_older_and_lost_revisions_are_caught():
    found = book()
    found.acknowledged = [(1.0, 1), (2.0, 2)]
    found.reads = [(1.5, 1), (2.5, 2)]
    found.final_revision = 2
    assert not found.broken()
    found.reads.append((3.0, 1))
    assert len(found.broken()) == 1
    found.final_revision = 1
    assert len(found.broken()) == 2


def test_a_seed_gives_the_same_plan():
    assert plan.make(7, 30.0) == plan.make(7, 30.0)
    assert plan.make(7, 30.0) != plan.make(8, 30.0)
    assert all(fault.kind in plan.KINDS for fault in plan.make(9, 200.0))


def test_the_plan_of_a_seed_is_the_same_as_ever():
    """Seeds that failed once must go on playing what failed."""
    text = repr([dataclasses.astuple(fault) for fault in plan.make(8318, 10.0)])
    assert hashlib.sha256(text.encode()).hexdigest().startswith("298509068ca73b77")


@pytest.mark.parametrize("controls", [3, 5, 11])
def test_never_more_than_a_minority_of_control_is_planned_to_be_lost(controls):
    for seed in range(20):
        most, faults = plan.make_replacing(seed, 60.0, controls, 4.0)
        assert (most, faults) == plan.make_replacing(seed, 60.0, controls, 4.0)
        assert 1 <= most <= (controls - 1) // 2
        assert not {fault.kind for fault in faults} & {"kill-control", "kill-everything"}
        losses = [fault for fault in faults if isinstance(fault, plan.Loss)]
        # In a planned replacement the successor starts at once.
        ends_s = [4.0 + s.at_s + (s.kind != "replace-planned") * s.for_s for s in losses]
        for loss in losses:
            spans = zip(losses, ends_s, strict=True)
            assert sum(s.at_s <= loss.at_s < end_s - 1e-6 for s, end_s in spans) <= most
