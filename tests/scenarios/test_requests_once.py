"""Guards against keyed work that runs twice, and refusals of keyed work that ran."""

import time

from pytest_bdd import given, parsers, scenarios, then, when

from oriolelock.bench import waiting
from oriolelock.once import client
from tests.scenarios import request_plan
from tests.scenarios.request_steps import *  # noqa: F403

scenarios("requests_once.feature")


def make_fleet(folder):
    return request_plan.make(folder, links=True)


def resend(w, entry):
    return w.send(entry, "pay", w.notes["body"], w.notes["key"], 10_000)


@then(parsers.parse("sent again to {entry} it gets the recorded answer"))
def _(w, entry):
    again = waiting.until(
        lambda: (found := resend(w, entry)).reason != "in-progress" and found, 30.0
    )
    assert again.outcome == "complete"
    assert again.text == w.notes["first"].result().text


@then(parsers.parse("sent again to {entry} it is {outcome} because of {reason}"))
def _(w, entry, outcome, reason):
    again = resend(w, entry)
    assert (again.outcome, again.reason) == (outcome, reason)


@when("the request is running")
def _(w):
    w.wait_running(key=w.notes["key"])


@when("a control replica loses its disk")
def _(w):
    version = w.fleet.status()["version"]
    item = w.fleet.control["c-r1a"]
    item.stop()
    item.delete_data()
    item.restart()
    w.fleet.wait_version(version)


@given(parsers.parse("{entry} is cut off from control"))
def _(w, entry):
    w.fleet.set_links(lambda name: name.startswith(f"{entry}>"), cut=True)


@given(parsers.parse("a keyed request that was sent to {entry} with 2 seconds left"))
def _(w, entry):
    w.notes["key"], w.notes["body"] = f"{int(time.time())}-cut", b"cut"
    w.notes["first"] = w.start(entry, "pay", b"cut", w.notes["key"], 2000)


@given(parsers.parse("the way from {entry} to control takes {delay}"))
def _(w, entry, delay):
    w.fleet.set_links(lambda name: name.startswith(f"{entry}>"), delay=delay)


@given(parsers.parse("{entry} waits for the grant of the key"))
def _(w, entry):
    # The request for the state counts too. The grant is on its way for twice the delay.
    waiting.until(lambda: w.state(entry)["in_flight"] >= 2, 30.0)


@when(parsers.parse("{entry} is frozen past its lease"))
def _(w, entry):
    process = w.fleet.entries[entry]
    process.freeze()
    # The lease is measured in time, so nothing but time can end it.
    time.sleep(client.LEASE_S)
    process.resume()
    w.fleet.set_links(lambda name: True, delay="5 ms")


@then(parsers.parse("sent again to {entry} it completes once the key is given back"))
def _(w, entry):
    again = waiting.until(
        lambda: (found := resend(w, entry)).reason != "in-progress" and found, 30.0
    )
    assert again.outcome == "complete"


@then(parsers.parse("another body with the key is refused at {entry}"))
def _(w, entry):
    found = w.send(entry, "pay", b"other", w.notes["key"])
    assert (found.outcome, found.reason, found.status) == ("not-run", "key-mismatch", 422)
