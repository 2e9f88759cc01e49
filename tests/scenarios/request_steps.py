"""Steps of all features about requests; ``from ... import *`` brings them into a module."""

import time

import pytest
from pytest_bdd import given, parsers, then, when

from oriolelock.bench import caller, waiting
from tests.scenarios import invariants, world

WAIT_S = world.WAIT_S


@pytest.fixture
def w(fleet):
    found = world.World(fleet)
    if not fleet.status()["version"]:
        found.put_preset("usual")
        found.use_preset("usual")
    found.wait_serving()
    yield found
    found.repair()


@given("a fleet that serves")
def _(w):
    assert w.counts() == invariants.Counts()
    # An earlier scenario of the module may have cut an entry off from control.
    waiting.until(
        lambda: all(is_connected(w, name) for name in w.fleet.entries), 30.0, "control heard"
    )


def is_connected(w, entry):
    age_s = w.state(entry)["control_age_s"]
    return age_s is not None and age_s < 1.0


@given(parsers.parse("{count:d} callers keep sending {operation} requests"))
@given(parsers.parse("{count:d} callers keep sending {operation} requests to {entry}"))
def _(w, count, operation, entry=None):
    w.keep_sending(count, operation, [entry] if entry else None)
    w.wait_answers(count)


@given(parsers.parse("the work takes {factor:d} times as long"))
def _(w, factor):
    w.fault("slow", factor=float(factor))


@when(parsers.parse("the process {name} is killed"))
def _(w, name):
    _process(w, name).kill()


@when(parsers.parse("the process {name} comes back"))
def _(w, name):
    _process(w, name).restart()


@when(parsers.parse("{count:d} more answers have come"))
def _(w, count):
    w.wait_answers(count)


@when("the callers have stopped")
def _(w):
    w.end_load()


@when(parsers.parse("a keyed request is sent to {entry}"))
@given(parsers.parse("a keyed request that was sent to {entry}"))
def _(w, entry):
    w.notes["key"], w.notes["body"] = caller.new_key(), b"pay-%d" % time.time_ns()
    w.notes["first"] = w.start(entry, "pay", w.notes["body"], w.notes["key"], 20_000)


@then(parsers.parse("the answer is {outcome} because of {reason}"))
def _(w, outcome, reason):
    found = w.notes["first"].result(WAIT_S)
    assert (found.outcome, found.reason) == (outcome, reason)


@then(parsers.parse("the key has {count:d} run"))
@then(parsers.parse("the key has {count:d} runs"))
def _(w, count):
    assert len(w.runs_of(w.notes["key"])) == count


@then("no promise was broken")
def _(w):
    w.end_load()
    w.wait_all()
    assert w.counts() == invariants.Counts()


@then("nothing ran twice, and no answer was wrong")
def _(w):
    w.end_load()
    w.wait_all()
    found = w.counts()
    assert (found.duplicated, found.wrongly_not_run, found.foreign) == (0, 0, 0)


def _process(w, name):
    return next(item for item in w.fleet.processes() if item.name == name)


def wait_until(condition, what="condition"):
    return waiting.until(condition, WAIT_S, what)
