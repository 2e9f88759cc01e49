"""Cases in which cold endpoints got too much, each played on a simulated fleet.

``RESTART_CASE_SEEDS=10`` plays each with more seeds.
"""

import functools
import os
import random

import logbook
import pytest

from oriolelock import clock
from oriolelock.dispatch import restarts
from oriolelock.gateway import restart_gossip
from tests.gateway import simulated_fleet, test_restarting_endpoints

BEGIN_S = 4.0
END_S = 9.0
SEEDS = range(1, 1 + int(os.environ.get("RESTART_CASE_SEEDS", "1")))


def play(seed, monkeypatch, script, **overrides):
    """Return a fleet after ``script(fleet)``, which is called at ``BEGIN_S``."""
    fields = {
        "entries": 5,
        "regions": 2,
        "endpoints": 8,
        "cold_rate": 3.0,
        "load": 0.6,
        "tells_cold": False,
        "max_requests_per_s": 80.0,
    }
    fleet = simulated_fleet.Fleet(seed, simulated_fleet.Options(**{**fields, **overrides}))
    fleet.network.patch(monkeypatch)
    with logbook.NullHandler().applicationbound():
        fleet.begin()
        fleet.call_until(END_S)
        fleet.network.at(BEGIN_S, lambda: script(fleet))
        fleet.network.run_until(END_S)
    return fleet


def check(fleet):
    found = test_restarting_endpoints.floods(fleet)
    assert any(item.colds for item in fleet.endpoints)
    assert not found, test_restarting_endpoints.describe(fleet, found)


def hosts(items):
    return {item.host for item in items}


@pytest.mark.parametrize("seed", SEEDS)
def test_single_endpoint_that_is_back_at_once(seed, monkeypatch):
    check(play(seed, monkeypatch, lambda fleet: fleet.restart(fleet.endpoints[0], 0.15)))


@pytest.mark.parametrize("seed", SEEDS)
def test_ends_of_most_endpoints_are_not_taken_for_a_fault_of_each_entry(seed, monkeypatch):
    def script(fleet):
        for item in fleet.endpoints[1:]:
            fleet.restart(item, fleet.rng.uniform(0.1, 0.4))

    check(play(seed, monkeypatch, script))


@pytest.mark.parametrize("seed", SEEDS)
def test_ends_while_no_entry_hears_enough_others_are_not_forgotten(seed, monkeypatch):
    def script(fleet):
        fleet.cut(hosts(fleet.entries[:1]), hosts(fleet.entries[1:]), 2.0, "one entry")
        fleet.cut(hosts(fleet.entries[1:2]), hosts(fleet.entries[2:]), 2.0, "another")
        fleet.cut(hosts(fleet.entries[2:3]), hosts(fleet.entries[3:]), 2.0, "a third")
        for item in fleet.endpoints[:4]:
            fleet.network.later(1.5, lambda item=item: fleet.restart(item, 0.3))

    check(play(seed, monkeypatch, script))


@pytest.mark.parametrize("seed", SEEDS)
def test_silent_end_is_not_found_out_by_each_connection_anew(seed, monkeypatch):
    def script(fleet):
        for item in fleet.endpoints[:3]:
            fleet.restart(item, 0.3, is_silent=True)

    check(play(seed, monkeypatch, script, entries=8, cold_rate=2.0, load=0.9))


@pytest.mark.parametrize("seed", SEEDS)
def test_lost_requests_of_many_entries_are_not_followed_by_a_check_each(seed, monkeypatch):
    def script(fleet):
        for item in fleet.endpoints[:3]:
            fleet.restart(item, 0.01)

    check(play(seed, monkeypatch, script, entries=16, cold_rate=2.0, load=0.9))


@pytest.mark.parametrize("seed", SEEDS)
def test_second_end_during_the_cold_time_of_the_first_is_noticed(seed, monkeypatch):
    def script(fleet):
        for item in fleet.endpoints[:4]:
            fleet.restart(item, 0.2)
            fleet.network.later(1.5, lambda item=item: fleet.restart(item, 0.2))

    check(play(seed, monkeypatch, script))


@pytest.mark.parametrize("seed", SEEDS)
def test_end_that_no_connection_shows_is_noticed(seed, monkeypatch):
    """Guards against endpoints that nobody is connected to, which end unseen."""

    def script(fleet):
        for n in range(3):
            for item in fleet.endpoints:
                fleet.network.later(2.0 * n, lambda item=item: fleet.restart(item, 0.15))

    check(play(seed, monkeypatch, script, load=0.3, idle_s=0.7))


@pytest.mark.parametrize("seed", SEEDS)
def test_old_connection_does_not_show_that_an_evacuated_endpoint_is_warm(seed, monkeypatch):
    def script(fleet):
        fleet.evacuate(fleet.endpoints[0].domain, 0.5, True)

    check(play(seed, monkeypatch, script, load=0.9))


@pytest.mark.parametrize("seed", SEEDS)
def test_doubt_that_ended_during_an_evacuation_says_nothing_of_its_end(seed, monkeypatch):
    def script(fleet):
        domain = fleet.endpoints[0].domain
        fleet.evacuate(domain, 1.0, True)
        # A sign of an end that proves wrong as the last requests there are answered.
        for entry in fleet.entries:
            fleet.network.later(0.15, lambda entry=entry: raise_doubts(entry, domain))

    check(play(seed, monkeypatch, script, load=1.0, endpoints=4))


def raise_doubts(entry, domain):
    gossip = entry.process.core.restarts
    for view in entry.process.core.chooser.views.values():
        if view.endpoint.failure_domain == domain:
            entry.process.within(lambda view=view: gossip.record_sign(view, "test", True))


@pytest.mark.parametrize("seed", SEEDS)
def test_suspicions_are_not_answered_without_end(seed, monkeypatch):
    """Guards against a storm of datagrams among entries that don't hear enough others."""

    def script(fleet):
        for entry in fleet.entries[:2]:
            fleet.kill_entry(entry, 1.3)
        for item in fleet.endpoints[1:]:
            fleet.restart(item, 2.0)

    check(play(seed, monkeypatch, script, entries=4))


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_start_with_an_old_configuration_know_of_restarts(seed, monkeypatch):
    def script(fleet):
        for entry in fleet.entries[:3]:
            fleet.kill_entry(entry, 0.6)
        for item in fleet.endpoints[:4]:
            fleet.restart(item, 0.3)

    check(play(seed, monkeypatch, script))


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_all_start_anew_doubt_all_endpoints(seed, monkeypatch):
    def script(fleet):
        for entry in fleet.entries:
            fleet.kill_entry(entry, fleet.rng.uniform(0.5, 0.8))
        for item in fleet.endpoints:
            fleet.restart(item, 0.3)

    check(play(seed, monkeypatch, script))


@pytest.mark.parametrize("seed", SEEDS)
def test_entries_that_thaw_do_not_take_old_news_for_the_present(seed, monkeypatch):
    def script(fleet):
        for entry in fleet.entries[:2]:
            fleet.freeze_entry(entry, 1.2)
        for item in fleet.endpoints[:4]:
            fleet.network.later(0.9, lambda item=item: fleet.restart(item, 0.2))

    check(play(seed, monkeypatch, script))


@pytest.mark.parametrize("seed", SEEDS)
def test_entry_that_was_cut_off_from_the_others_learns_of_restarts_first(seed, monkeypatch):
    def script(fleet):
        alone, others = fleet.entries[:1], fleet.entries[1:]
        fleet.cut(hosts(alone), hosts(others) | hosts(fleet.endpoints), 1.5, "one entry")
        for item in fleet.endpoints[:4]:
            fleet.network.later(1.0, lambda item=item: fleet.restart(item, 0.3))

    check(play(seed, monkeypatch, script))


@pytest.mark.parametrize("seed", SEEDS)
def test_row_that_is_left_out_and_comes_back_tells_nothing_else_than_the_start(seed, monkeypatch):
    """Guards against a new view that forgets that the endpoint is cold."""

    def script(fleet):
        for item in fleet.endpoints[:4]:
            fleet.restart(item, 1.2)

    check(play(seed, monkeypatch, script, keeps_rows=False, tells_starts=False))


@pytest.mark.parametrize("seed", SEEDS)
def test_refused_health_check_of_one_entry_is_told_to_the_others(seed, monkeypatch):
    """Guards against an end that only a health check has shown, to the entry that made it."""
    states = {}

    def record_state(entry, item):
        now, selector = clock.monotonic_s(), entry.process.core.chooser
        digest = selector.views[item.name].restart_digest
        states[entry.name] = selector.restarts.state(digest, now)

    def script(fleet):
        item, first = fleet.endpoints[0], fleet.entries[0]
        selector = first.process.core.chooser
        digest = selector.views[item.name].restart_digest
        fleet.restart(item, 3.0)
        first.process.within(lambda: selector.restarts.mark_unsure(digest, clock.monotonic_s()))
        for entry in fleet.entries:
            record = functools.partial(record_state, entry, item)
            fleet.network.later(2.5, lambda entry=entry, do=record: entry.process.within(do))

    fleet = play(seed, monkeypatch, script, load=0.001, idle_s=0.3)
    assert len(states) == len(fleet.entries)
    assert all(state.is_open for state in states.values()), states
    check(fleet)


@pytest.mark.parametrize("seed", SEEDS)
def test_endpoint_that_refuses_one_entry_goes_on_to_serve_the_others(seed, monkeypatch):
    def script(fleet):
        item, refused = fleet.endpoints[0], fleet.entries[0]
        accept = item.accept
        item.accept = lambda conn: None if conn.process is refused.process else accept(conn)

    fleet = play(seed, monkeypatch, script, load=0.6)
    counts = {
        item.name: sum(BEGIN_S < arrival.at_s < END_S for arrival in item.arrivals)
        for item in fleet.endpoints
    }
    assert counts["x0"] > 0.5 * sum(counts.values()) / len(counts), counts


def test_the_plays_show_entries_that_know_nothing_of_restarts(monkeypatch):
    """Without the means against it, the same plays break the bound."""
    monkeypatch.setattr(restarts.Restarts, "raise_doubt", lambda *_, **__: False)
    monkeypatch.setattr(restarts.Restarts, "mark_unsure", lambda *_: None, raising=False)
    monkeypatch.setattr(restart_gossip.RestartGossip, "is_informed", lambda *_: True)
    monkeypatch.setattr(restarts.Restarts, "record_cold", lambda *_: False)
    rng = random.Random(1)

    def script(fleet):
        for item in fleet.endpoints[:4]:
            fleet.restart(item, rng.uniform(0.1, 0.4))

    fleet = play(1, monkeypatch, script)
    assert test_restarting_endpoints.floods(fleet)
