"""Guards against traffic that moves faster than its cap, or without control."""

import time

from pytest_bdd import given, parsers, scenarios, then, when

from oriolelock import clock
from oriolelock.bench import waiting
from tests.scenarios import request_plan
from tests.scenarios.request_steps import *  # noqa: F403

scenarios("requests_shifts.feature")

ENTRIES = ["e-r1a", "e-r1b"]
WEIGHTS = {"away": 0.3, "home": 1.0}
# Noise of the difference between two seconds of 200 runs, and what spills from endpoints that
# are busy for a moment on a loaded machine: up to 0.14 of the runs.
NOISE = 0.2
WINDOW_S = 1.0
STEP_S = 0.25
SILENCE_S = 3.0
SETTLED_S = 2.5


def make_fleet(folder):
    # One of three entries may use a third of the free slots of another region. With few slots
    # that is less than one request, and holds back the shift more than its cap does.
    return request_plan.make(folder, 5.0, 12, links=True)


@given(parsers.parse("{count:d} callers that use the entries of r1"))
def _(w, count):
    w.put_preset("usual", 1.0, 1.0)
    w.use_preset("usual")
    waiting.until(lambda: all(part(w, name) == 0.0 for name in ENTRIES), 30.0, "all in r1")
    w.keep_sending(count, "read", ENTRIES)
    w.wait_answers(100)


def part(w, entry):
    """Return the part of the traffic that an entry means to send to r2."""
    return w.state(entry)["steering"]["router"]["services"]["s"]["applied"].get("r2", 0.0)


def share(runs, start_s):
    """Return the share of r2 in the runs that began in the window from ``start_s``."""
    found = [r for r in runs if start_s <= r["start"] < start_s + WINDOW_S]
    return sum("-r2" in r["endpoint"] for r in found) / max(1, len(found))


def moves(w):
    """Return the changes of the share of r2 from each window to the next one since the use."""
    runs, end_s = w.runs(), clock.wall_s() - WINDOW_S
    steps = int((end_s - w.notes["used_s"]) / STEP_S)
    starts = [w.notes["used_s"] + n * STEP_S for n in range(steps)]
    return [share(runs, at) - share(runs, at - WINDOW_S) for at in starts]


@when(parsers.parse("the preset {name} with a cap of {cap:g} comes into force"))
def _(w, name, cap):
    w.notes["cap"] = cap
    w.put_preset(name, WEIGHTS[name], cap)
    w.notes["used_s"] = clock.wall_s()
    w.use_preset(name)


def wait_share(w, reached):
    def condition():
        return reached(share(w.runs(), clock.wall_s() - WINDOW_S))

    waiting.until(condition, 40.0, "the share of r2")


@when("r2 gets half of the traffic")
def _(w):
    wait_share(w, lambda found: found > 0.5)


@when("r2 gets a tenth of the traffic")
def _(w):
    wait_share(w, lambda found: found > 0.1)


@then("r2 gets at most one cap more of the traffic per second")
def _(w):
    wait_share(w, lambda found: found > 0.6)
    # The last move is whole once the window after it has passed.
    w.wait_answers(400)
    assert max(moves(w)) <= w.notes["cap"] + NOISE, moves(w)


@then(parsers.parse("r2 gets {percent:d} percent of the traffic in the end"))
def _(w, percent):
    waiting.until(lambda: all(abs(part(w, name) - percent / 100) < 0.02 for name in ENTRIES), 30.0)


@then("the share of r2 starts from where it was and falls by at most one cap per second")
def _(w):
    before = share(w.runs(), w.notes["used_s"] - WINDOW_S)
    wait_share(w, lambda found: found < before / 2)
    w.wait_answers(400)
    assert before > 0.4 and min(moves(w)) >= -w.notes["cap"] - NOISE, (before, moves(w))


@when("the entries of r1 are cut off from control")
def _(w):
    w.fleet.set_links(lambda name: name.split(">")[0] in ENTRIES, cut=True)


@then("the shift stops short of its end")
def _(w):
    # Time alone stops the shift, and shows that it stays stopped.
    time.sleep(SILENCE_S + 1.0)
    first = [part(w, name) for name in ENTRIES]
    time.sleep(SETTLED_S)
    assert [part(w, name) for name in ENTRIES] == first
    assert max(first) < 0.7 - 3 * w.notes["cap"]
