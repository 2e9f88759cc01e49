"""The policy model: decisions of the product on sample deployments."""

import dataclasses

import pytest

from oriolelock.bench.policy import endpoint_model, samples, simulation
from oriolelock.bench.policy import scene as scenes
from oriolelock.dispatch import region_split

# As of the entry on the users' platform; the cap is on what changes its region between two
# windows of 2 s.
SHIFT_SPEED = 0.042
MOST_SHIFT = 0.15


def play(name, duration_s, fan_out, seed=1):
    scene = dataclasses.replace(samples.SCENES[name](1.0), duration_s=duration_s)
    return simulation.Simulation(scene, seed, SHIFT_SPEED, fan_out).run()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_region_of_few_endpoints_is_served_from_the_start(seed):
    found = play("uneven", 6.0, 5, seed)
    assert found.worst_place() > 0.9 * found.share()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_shifts_stay_below_their_cap(seed):
    assert play("small", 20.0, 3, seed).largest_shift() <= MOST_SHIFT


def test_entries_that_hear_of_others_answers_serve_more():
    alone, together = play("uneven", 10.0, 0), play("uneven", 10.0, 5)
    assert together.share() > alone.share()


def test_an_endpoint_has_slots_a_queue_and_few_objects_at_hand():
    work = scenes.Work("w", 1.0, 1.0, 1, 1.0, 0.5, 9.0, 0.5, 4, 1, 1, 1.0, 0.1)
    events, results = [], []

    class Steady:
        def lognormvariate(self, mean, sigma):
            return 1.0

    item = endpoint_model.EndpointModel(work, lambda *args: events.append(args), Steady())
    for key in ("x", "x", "y", "x", "x"):
        item.arrive(0.0, key, 90.0, lambda now, was_run: results.append((now, was_run)))
    assert results == [(0.0, False)]
    while events:
        at_s, callback, *args = events.pop(0)
        callback(at_s, *args)
    assert [now for now, was_run in results if was_run] == [1.0, 1.5, 2.5, 3.5]
    assert (item.runs, item.warm_runs) == (4, 1)


def test_starting_with_all_requests_at_home_serves_the_region_worse(monkeypatch):
    split = play("tight", 6.0, 5).worst_place()
    monkeypatch.setattr(region_split, "usual_shares", lambda own, slots, entries: {own: 1.0})
    assert split > play("tight", 6.0, 5).worst_place() + 0.1
