"""Division of requests among regions: by object, by capacity, with bounded shifts."""

import random

import pytest

from oriolelock.dispatch import region_split

SPEED = 0.042


def simulate(split, seconds, preferred, start_s=0.0, rate=50):
    """Return each region's share of the requests in each window of 2 s."""
    rng, windows, sent = random.Random(4), [], []
    for step in range(int(seconds * rate)):
        now = start_s + step / rate
        split.record_preference(preferred(now), now)
        region = split.order(rng.random())[0]
        split.record_sent(region)
        sent.append(region)
        if len(sent) == 2 * rate:
            windows.append({name: sent.count(name) / len(sent) for name in ("a", "b", "c")})
            sent = []
    return windows


def largest_change(windows):
    return max(
        sum(abs(after[name] - before[name]) for name in after) / 2.0
        for before, after in zip(windows, windows[1:], strict=False)
    )


def test_shares_shift_at_a_bounded_rate_in_both_directions():
    split = region_split.RegionSplit("a", {"a": 1.0}, SPEED)
    simulate(split, 4, lambda now: "a")
    windows = simulate(split, 40, lambda now: "b" if now < 24 else "a", start_s=4.0)
    assert largest_change(windows) <= 0.15
    moved = [window["b"] for window in windows]
    assert max(moved) > 0.5
    assert moved[-1] < max(moved) - 0.3


def test_shares_shift_at_a_bounded_rate_from_the_start():
    """Guards against unbounded shifts at the start.

    An accelerated start moved 30% of a region's requests between the first two windows.
    """
    split = region_split.RegionSplit("a", {"a": 1.0}, SPEED)
    windows = simulate(split, 12, lambda now: "b")
    assert largest_change(windows) <= 0.15
    assert windows[-1]["b"] > 0.25


def test_shifts_between_other_regions_are_bounded():
    split = region_split.RegionSplit("a", {"a": 0.3, "b": 0.7}, SPEED)
    windows = simulate(split, 20, lambda now: "c")
    assert largest_change(windows) <= 0.15
    assert windows[-1]["c"] > 0.25


def test_the_first_window_uses_the_initial_shares():
    split = region_split.RegionSplit("a", {"a": 0.3, "b": 0.4, "c": 0.3}, SPEED)
    rng = random.Random(2)
    windows = simulate(split, 6, lambda now: rng.choices("abc", (3, 4, 3))[0])
    assert windows[0]["a"] == pytest.approx(0.3, abs=0.08)
    assert largest_change(windows) <= 0.15


def test_objects_keep_their_region_while_shares_are_constant():
    split = region_split.RegionSplit("a", {"a": 0.5, "b": 0.5}, SPEED)
    rng, regions_by_position = random.Random(1), {}
    positions = [rng.random() for _ in range(40)]
    for _ in range(400):
        position = rng.choice(positions)
        region = split.order(position)[0]
        split.record_sent(region)
        regions_by_position.setdefault(position, []).append(region)
    largest_shares = [
        max(map(regions.count, set(regions))) / len(regions)
        for regions in regions_by_position.values()
    ]
    assert sum(largest_shares) / len(largest_shares) > 0.85


def test_initial_shares_keep_requests_within_the_regions_capacity():
    shares = region_split.usual_shares("b", {"a": 40, "b": 8, "c": 32}, {"a": 10, "b": 10, "c": 10})
    assert shares["b"] == pytest.approx(0.3)
    assert shares["a"] > shares["c"] > 0.0
    assert sum(shares.values()) == pytest.approx(1.0)
    sufficient = region_split.usual_shares("a", {"a": 40, "b": 8, "c": 32}, dict.fromkeys("abc", 9))
    assert sufficient == {"a": 1.0}


@pytest.mark.parametrize(
    ("slots", "entries"),
    [({}, {"a": 3}), ({"a": 4}, {}), ({"a": 4}, {"b": 1}), ({"b": 0}, {"a": 1})],
)
def test_initial_shares_without_slots_or_entries_use_the_own_region(slots, entries):
    assert region_split.usual_shares("a", slots, entries) == {"a": 1.0}


def test_initial_shares_of_a_region_without_endpoints_use_other_regions():
    shares = region_split.usual_shares("a", {"b": 4}, {"a": 1, "b": 1})
    assert shares == {"a": 0.0, "b": 1.0}
