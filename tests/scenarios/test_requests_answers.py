"""Guards against answers of others, false "not run", silence, and requests that kill."""

from pytest_bdd import given, parsers, scenarios, then, when

from oriolelock.bench import waiting
from oriolelock.settings import getters, node, standin_link
from oriolelock.standin import link
from tests.scenarios import request_plan
from tests.scenarios.request_steps import *  # noqa: F403

scenarios("requests_answers.feature")

FIELDS = {"late": {"delay": "4 s"}}


def make_fleet(folder):
    return request_plan.make(folder)


def send_each(w, count, operation, entries=request_plan.ENTRIES, deadline_ms=3000):
    for entry in entries:
        for _ in range(count):
            w.start(entry, operation, deadline_ms=deadline_ms)
    w.notes["answers"] = w.wait_all()
    return w.notes["answers"]


@given(parsers.parse("the stand-ins answer {kind}"))
def _(w, kind):
    w.fault(kind, **FIELDS.get(kind, {}))


@given(parsers.parse("the first of 20 answers of each stand-in is {kind}"))
def _(w, kind):
    w.fault(kind, count=1)


@when("the stand-ins are well again")
def _(w):
    for kind in ("crossed", "truncated", "late"):
        w.fault(kind, off=True)


@when(parsers.parse("{count:d} pay requests with {left:d} ms left are sent to each entry"))
def _(w, count, left):
    send_each(w, count, "pay", deadline_ms=left)


@then(parsers.parse("their outcome is unknown because of {reason}"))
def _(w, reason):
    found = {(item.outcome, item.reason) for item in w.notes["answers"]}
    # Endpoints that failed too often are ejected, and what waits for them is refused.
    ran = {pair for pair in found if pair[0] != "not-run"}
    assert ran == {("unknown", reason)}


@then(parsers.parse("{count:d} read requests to each entry get their own answers"))
def _(w, count):
    waiting.until(
        lambda: all(a.outcome == "complete" for a in send_each(w, count, "read")),
        30.0,
        "answers to all",
    )


@given(parsers.parse("{entry} keeps connections to its endpoints through a link"))
def _(w, entry):
    region = entry[2:4]
    w.notes["links"], w.notes["addresses"] = [], []
    for name in request_plan.ENDPOINTS:
        address = w.fleet.address_of(name)
        if region not in name:
            continue
        top = node.Node("test", "", {"target": address})
        target = getters.get_address(top, "target")
        state = standin_link.LinkState()
        item = link.Link(standin_link.LinkSettings(name, ("127.0.0.1", 0), target, state))
        host, port = item.start()
        w.notes["links"].append(item)
        w.notes["addresses"].append(f"{host}:{port}")
        w.cleanups += [item.stop, lambda n=name, a=address: w.set_instance(n, address=a)]
        w.set_instance(name, address=f"{host}:{port}")

    def are_kept():
        send_each(w, 4, "read", [entry])
        kept = w.state(entry)["connections"]
        return all(kept.get(address, (0, 0))[1] for address in w.notes["addresses"])

    waiting.until(are_kept, 30.0, "kept connections through the links")


@when("the kept connections of the link go silent")
def _(w):
    for item in w.notes["links"]:
        item.set_state(standin_link.LinkState(silence="open"))


@then(
    parsers.parse(
        "{count:d} {operation} requests to {entry} get their own answers within" " their deadline"
    )
)
def _(w, count, operation, entry):
    assert {a.outcome for a in send_each(w, count, operation, [entry])} == {"complete"}


@then(parsers.parse("{entry} has ejected no endpoint"))
def _(w, entry):
    state = w.state(entry)
    assert state["steering"]["router"]["services"]["s"]["ejected"] == []
    assert state["metrics"].get("endpoint.silent", 0) > 0


@given("a request that crashes endpoints")
def _(w):
    w.notes["body"] = b"killer"
    w.fault("crash", marker="killer")


@when("it is sent to e-r1a, e-r1b, e-r2a again and again until it is quarantined")
def _(w):
    def sent():
        found = [w.send(entry, "read", w.notes["body"]) for entry in request_plan.ENTRIES]
        return any(item.reason == "quarantined" for item in found)

    waiting.until(sent, 30.0, "quarantine")


def dead(w):
    return [name for name, item in w.fleet.endpoints.items() if not item.is_running()]


@then(parsers.parse("it killed at most {count:d} endpoints"))
def _(w, count):
    assert 1 <= len(dead(w)) <= count


@then("every entry refuses it as quarantined")
def _(w):
    for entry in request_plan.ENTRIES:
        waiting.until(
            lambda name=entry: w.send(name, "read", w.notes["body"]).reason == "quarantined", 10.0
        )
    assert len(dead(w)) <= 2


@given("a popular request that has been answered")
def _(w):
    w.notes["body"] = b"popular"
    for entry in request_plan.ENTRIES:
        assert w.send(entry, "read", b"popular").outcome == "complete"


@given("it is in flight on both endpoints of r1")
def _(w):
    for entry in ("e-r1a", "e-r1b"):
        for _ in range(3):
            w.start(entry, "read", b"popular")
    for name in ("s-r1a", "s-r1b"):
        w.wait_running(endpoint=name)


@when("the endpoints of r1 die")
def _(w):
    for name in ("s-r1a", "s-r1b"):
        w.fleet.endpoints[name].kill()


@then("it is not quarantined once they are back")
def _(w):
    assert "quarantined" not in {item.reason for item in w.wait_all()}
    w.restart_dead()
    for entry in request_plan.ENTRIES:
        found = w.send(entry, "read", b"popular")
        assert (found.outcome, found.reason) != ("not-run", "quarantined")


@when(parsers.parse("{count:d} refusals have come"))
def _(w, count):
    w.wait_answers(count, lambda item: item.outcome == "not-run")


@when(parsers.parse("the stand-ins shed {count:d} requests"))
def _(w, count):
    w.fault("shed", count=count // len(request_plan.ENDPOINTS))


@when(parsers.parse("the stand-in {name} drains"))
def _(w, name):
    w.fault("draining", [name])
