"""Which region a request runs in: by object, by capacity, and never moving fast."""

import random

import pytest

from oriolelock.dispatch import region_split

SPEED = 0.042


def play(split, seconds, wished, start_s=0.0, rate=50):
    """Return the part of requests sent to each region in each window of 2 s."""
    rng, parts, sent = random.Random(4), [], []
    for step in range(int(seconds * rate)):
        now = start_s + step / rate
        split.wish(wished(now), now)
        chosen = split.order(rng.random())[0]
        split.sent(chosen)
        sent.append(chosen)
        if len(sent) == 2 * rate:
            parts.append({name: sent.count(name) / len(sent) for name in ("a", "b", "c")})
            sent = []
    return parts


def largest_change(parts):
    return max(
        sum(abs(new[name] - old[name]) for name in new) / 2.0
        for old, new in zip(parts, parts[1:], strict=False)
    )


def test_shares_change_slowly_both_ways():
    split = region_split.RegionSplit("a", {"a": 1.0}, SPEED)
    play(split, 4, lambda now: "a")
    parts = play(split, 40, lambda now: "b" if now < 24 else "a", start_s=4.0)
    assert largest_change(parts) <= 0.15
    away = [part["b"] for part in parts]
    assert max(away) > 0.5
    assert away[-1] < max(away) - 0.3


def test_shares_change_slowly_from_the_start():
    """A quick start moved 30 in 100 requests of a region between the first two windows."""
    split = region_split.RegionSplit("a", {"a": 1.0}, SPEED)
    parts = play(split, 12, lambda now: "b")
    assert largest_change(parts) <= 0.15
    assert parts[-1]["b"] > 0.25


def test_a_change_of_mind_between_other_regions_is_slow_too():
    split = region_split.RegionSplit("a", {"a": 0.3, "b": 0.7}, SPEED)
    parts = play(split, 20, lambda now: "c")
    assert largest_change(parts) <= 0.15
    assert parts[-1]["c"] > 0.25


def test_the_first_window_already_has_the_starting_shares():
    split = region_split.RegionSplit("a", {"a": 0.3, "b": 0.4, "c": 0.3}, SPEED)
    rng = random.Random(2)
    parts = play(split, 6, lambda now: rng.choices("abc", (3, 4, 3))[0])
    assert parts[0]["a"] == pytest.approx(0.3, abs=0.08)
    assert largest_change(parts) <= 0.15


def test_an_object_stays_in_its_region_while_shares_hold():
    split = region_split.RegionSplit("a", {"a": 0.5, "b": 0.5}, SPEED)
    rng, seen = random.Random(1), {}
    positions = [rng.random() for _ in range(40)]
    for _ in range(400):
        position = rng.choice(positions)
        chosen = split.order(position)[0]
        split.sent(chosen)
        seen.setdefault(position, []).append(chosen)
    settled = [max(map(found.count, set(found))) / len(found) for found in seen.values()]
    assert sum(settled) / len(settled) > 0.85


def test_a_region_keeps_what_it_has_slots_for():
    shares = region_split.starting_shares(
        "b", {"a": 40, "b": 8, "c": 32}, {"a": 10, "b": 10, "c": 10}
    )
    assert shares["b"] == pytest.approx(0.3)
    assert shares["a"] > shares["c"] > 0.0
    assert sum(shares.values()) == pytest.approx(1.0)
    ample = region_split.starting_shares("a", {"a": 40, "b": 8, "c": 32}, dict.fromkeys("abc", 9))
    assert ample == {"a": 1.0}


@pytest.mark.parametrize(
    ("slots", "entries"),
    [({}, {"a": 3}), ({"a": 4}, {}), ({"a": 4}, {"b": 1}), ({"b": 0}, {"a": 1})],
)
def test_without_knowledge_the_own_region_keeps_all(slots, entries):
    assert region_split.starting_shares("a", slots, entries) == {"a": 1.0}


def test_a_region_without_endpoints_sends_all_away():
    shares = region_split.starting_shares("a", {"b": 4}, {"a": 1, "b": 1})
    assert shares == {"a": 0.0, "b": 1.0}
