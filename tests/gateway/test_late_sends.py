"""Requests are not sent to endpoints that have left since the decision to send them."""

import dataclasses

import pytest

from oriolelock.dispatch import decisions, endpoint_view
from oriolelock.model import drain
from tests.gateway import conftest


def respond(conn, head, body):
    conn.sendall(conftest.make_response(head))


def list_as_leaving(core, name):
    cfg = core.cfg_in_force
    leaving = dataclasses.replace(cfg.endpoints[name], state="leaving")
    core.configure(dataclasses.replace(cfg, endpoints={**cfg.endpoints, name: leaving}))


def remove(core, name):
    cfg = core.cfg_in_force
    kept = {key: value for key, value in cfg.endpoints.items() if key != name}
    core.configure(dataclasses.replace(cfg, endpoints=kept))


def restart(core, name):
    cfg = core.cfg_in_force
    restarted = dataclasses.replace(cfg.endpoints[name], started_ms=5)
    core.configure(dataclasses.replace(cfg, endpoints={**cfg.endpoints, name: restarted}))


def evacuate(core, name):
    cfg = core.cfg_in_force
    planned = drain.Drain("d", "endpoint", name, 0.0, 0.0, True)
    core.configure(dataclasses.replace(cfg, drains={"d": planned}))


def say_leaving(core, name):
    core.record_leaving(core.chooser.views[name], 0.0)


def tell_listed(core, name):
    core.chooser.views[name].record_fact(
        endpoint_view.Fact.LISTED_LEAVING, conftest.core.clock.monotonic_s()
    )


CHANGES = [list_as_leaving, remove, restart, evacuate, say_leaving, tell_listed]


@pytest.mark.parametrize("is_connected", [False, True])
@pytest.mark.parametrize("path", [b"/safe/1", b"/once/1"])
@pytest.mark.parametrize("change", CHANGES)
def test_endpoint_that_leaves_after_the_decision_gets_no_request(
    gateway, change, path, is_connected
):
    """Guards against a request that reaches it after a connection has been opened."""
    for name in ("x0", "x1"):
        gateway.add_endpoint(name, respond)
    gateway.configure()
    if is_connected:
        for _ in range(4):
            gateway.send(path)
    chooser, chosen = gateway.core.chooser, []
    choose = chooser.choose

    def choose_and_change(context, now):
        decision = choose(context, now)
        if not chosen and isinstance(decision, decisions.Send):
            chosen.append(decision.view.endpoint.name)
            change(gateway.core, chosen[0])
        return decision

    chooser.choose = choose_and_change
    before = {name: len(raw.requests) for name, raw in gateway.endpoints.items()}
    assert gateway.send(path)[0] == 200
    after = {name: len(raw.requests) for name, raw in gateway.endpoints.items()}
    expected = dict(before)
    # An endpoint that has started again may have the request, as the new one that it is.
    others = [name for name in before if name != chosen[0] or change is restart]
    assert sum(after[name] - before[name] for name in others) == 1
    if change is not restart:
        assert after[chosen[0]] == expected[chosen[0]]
