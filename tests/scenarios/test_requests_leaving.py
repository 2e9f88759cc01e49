"""Guards against new work for what leaves, and against work that a planned stop cuts."""

import time

from pytest_bdd import parsers, scenarios, then, when

from oriolelock import clock
from oriolelock.bench import http, waiting
from tests.scenarios import request_plan
from tests.scenarios.request_steps import *  # noqa: F403

scenarios("requests_leaving.feature")

WATCHED_S = 1.0


def make_fleet(folder):
    return request_plan.make(folder, entry_threads=128, leave_lag="3 s")


def drain(w, name, scope, deadline, *options):
    w.cleanups.append(lambda: w.operate("drain", "cancel", name))
    return w.operate(
        "drain", "add", name, "--scope", scope, "--target", name, "--deadline", deadline, *options
    )


def drain_by_force(w, name):
    # Nine callers keep eight slots busy, so that the check of the load refuses the drain.
    assert drain(w, name, "endpoint", "+2s", "--force") == 0


def leave_by_list(w, name):
    w.cleanups.append(lambda: w.set_instance(name, state="live"))
    w.set_instance(name, state="leaving")


WAYS = {
    "a drain": drain_by_force,
    "the instance list": leave_by_list,
    "its own state": lambda w, name: w.fault("draining", [name]),
    "a planned stop": lambda w, name: w.fleet.endpoints[name].ask_to_stop(),
}


@when(parsers.re(r"(?P<name>s-\w+) leaves by (?P<way>.+)"))
def _(w, name, way):
    w.notes["left_s"] = clock.wall_s()
    WAYS[way](w, name)


@then(parsers.parse("no run begins at {name} later than {limit:d} seconds after"))
def _(w, name, limit):
    end_s = w.notes["left_s"] + limit
    # Nothing but time tells that no more work comes.
    time.sleep(max(0.0, end_s + WATCHED_S - clock.wall_s()))
    w.end_load()
    begun = [run["start"] for run in w.runs()]
    late = [r["start"] for r in w.runs() if r["endpoint"] == name and r["start"] > end_s]
    assert max(begun) > end_s and not late


@then("the callers have had only complete answers")
def _(w):
    w.end_load()
    bad = [(item.entry, item.outcome, item.reason, item.text) for item in w.answers]
    assert [item for item in bad if item[1] != "complete"] == []


@then("a drain of region r1 and one of region r2 are not both accepted")
def _(w, capfd):
    assert drain(w, "r1", "region", "+10min") == 0
    capfd.readouterr()
    assert drain(w, "r2", "region", "+10min") == 1
    w.notes["text"] = "".join(capfd.readouterr())
    w.cleanups.pop()


@then("the refusal names the slots")
def _(w):
    assert "0 " in w.notes["text"] and "slots" in w.notes["text"], w.notes["text"]


@when(parsers.parse("{name} is asked to stop"))
def _(w, name):
    w.fleet.entries[name].ask_to_stop()


@then(parsers.parse("look-ups stop naming {name} before it ends"))
def _(w, name):
    process = w.fleet.entries[name]

    def names(entry):
        found = http.get_json(w.fleet.address_of(entry), "/oriolelock/lookup?service=s")
        return {item["name"] for item in found["entries"]}

    others = [entry for entry in request_plan.ENTRIES if entry != name]
    waiting.until(lambda: not any(name in names(entry) for entry in others), 30.0)
    assert process.is_running()


@then(parsers.parse("{name} ends with exit code 0"))
def _(w, name):
    assert w.fleet.entries[name].wait(30.0) == 0
