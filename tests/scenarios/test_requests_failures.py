"""Guards against failures that stop or overrun what is left."""

from pytest_bdd import parsers, scenarios, then, when

from oriolelock import clock
from oriolelock.bench import waiting
from tests.scenarios import request_plan
from tests.scenarios.request_steps import *  # noqa: F403

scenarios("requests_failures.feature")

WATCHED_ANSWERS = 300
MAX_REFUSED_SHARE = 0.1
RAMP_WINDOW_S = 1.0


def make_fleet(folder):
    return request_plan.make(folder, entry_threads=192)


def kill(w, names):
    w.notes["dead"] = names
    every = {**w.fleet.entries, **w.fleet.endpoints}
    w.notes["cuttable"] = sum(
        request_plan.SLOTS + request_plan.QUEUE for name in names if name in w.fleet.endpoints
    )
    w.notes["failed_s"] = clock.wall_s()
    for name in names:
        every[name].kill()


@when(parsers.re(r"(?P<names>[esr\d\w, -]+) (dies|die)$"))
def _(w, names):
    kill(w, names.split(", "))


@when(parsers.re(r"(the load )?reports of (?P<names>.+) lie$"))
def _(w, names):
    w.notes.setdefault("cuttable", 0)
    w.notes.setdefault("failed_s", clock.wall_s())
    w.fault("load-lie", names.split(", "), in_flight=0, queued=0)


@when(parsers.re(r"the load reports of (?P<names>.+) are missing$"))
def _(w, names):
    w.notes["cuttable"], w.notes["failed_s"] = 0, clock.wall_s()
    w.fault("load-lag", names.split(", "), delay="60 s")


@when(parsers.parse("{dead} dies and the reports of {liar} lie"))
def _(w, dead, liar):
    kill(w, [dead])
    w.fault("load-lie", [liar], in_flight=0, queued=0)


@then("urgent work goes on")
def _(w):
    found = w.wait_answers(WATCHED_ANSWERS, lambda item: item.outcome != "lost")
    urgent = [a for a in found if a.operation == "ask" and a.outcome not in ("lost", "unknown")]
    late = [a for a in urgent if a.outcome != "complete"]
    # A fifth of the callers are urgent; served first, they get at least that part.
    assert len(urgent) > WATCHED_ANSWERS / 6 and len(late) <= MAX_REFUSED_SHARE * len(urgent)


@then("few requests are refused")
def _(w):
    after = [a for a in w.answers if a.start_s > w.notes["failed_s"] and a.outcome != "lost"]
    refused = [a.reason for a in after if a.outcome == "not-run"]
    assert len(refused) <= MAX_REFUSED_SHARE * len(after), refused


@then("only what the dead ran was cut")
def _(w):
    assert w.counts().cut <= w.notes["cuttable"]


@when("the dead come back")
def _(w):
    w.restart_dead()
    w.notes["back_s"] = clock.wall_s()


@then("region r1 serves again")
def _(w):
    waiting.until(
        lambda: all(
            any(r["endpoint"] == name and r["start"] > w.notes["back_s"] for r in w.runs())
            for name in ("s-r1a", "s-r1b")
        ),
        30.0,
        "runs on each endpoint of r1",
    )


@then("traffic ramps back to region r1")
def _(w):
    def begun(name=""):
        return [
            r["start"]
            for r in w.runs()
            if "-r1" in r["endpoint"] and r["start"] > w.notes["back_s"] - 5
        ]

    waiting.until(lambda: sum(t > w.notes["back_s"] for t in begun()) > 900, 60.0, "runs in r1")
    w.end_load()
    times = sorted(t for t in begun() if t > w.notes["failed_s"] + 0.5)
    first = sum(t < times[0] + RAMP_WINDOW_S for t in times)
    last = sum(t > times[-1] - RAMP_WINDOW_S for t in times)
    assert first < 0.7 * last, (first, last)
