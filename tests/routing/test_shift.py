"""Guards against shifts over their cap, and against moves made blindly."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.routing import shift

LIMITS = shift.Limits(0.1, 0.02, 1.0)
TARGET = {"a": 0.2, "b": 0.4, "c": 0.4}
ALL = {"a", "b", "c"}


def step(item, now, target=TARGET, cold=(), measured=ALL, heard_at=None):
    before = dict(item.applied)
    item.step(target, LIMITS, cold, measured, now if heard_at is None else heard_at, now)
    names = {*before, *item.applied}
    return sum(max(0.0, item.applied.get(n, 0) - before.get(n, 0)) for n in names)


def make():
    return shift.Shift({"a": 1.0}, 0.0)


def test_moves_one_cap_per_interval_and_reaches_the_target():
    item = make()
    assert step(item, 0.9) == 0.0
    moves = [round(step(item, float(n)), 9) for n in range(1, 12)]
    assert moves == [0.1] * 8 + [0.0] * 3
    assert all(abs(item.applied[r] - TARGET[r]) < 1e-9 for r in ALL)


def test_frozen_process_does_not_catch_up():
    item = make()
    assert abs(step(item, 3600.0) - 0.1) < 1e-9 and step(item, 3600.5) == 0.0


def test_changing_the_target_does_not_earn_extra_steps():
    item = make()
    total = sum(step(item, 1 + n * 0.1, {"a": 0.0, "bc"[n % 2]: 1.0}) for n in range(10))
    assert total <= 0.1 + 1e-9


def test_nothing_moves_while_control_is_silent_or_nothing_is_measured():
    assert step(make(), 10.0, heard_at=6.9) == 0.0
    item = make()
    assert step(item, 1.0, measured={"a", "b"}) > 0.09 and "c" not in item.applied


def test_cold_regions_gain_at_most_the_cold_cap():
    item = make()
    assert abs(step(item, 1.0, cold={"b", "c"}) - 0.02) < 1e-9
    assert abs(step(item, 2.0, cold={"b"}) - 0.1) < 0.08 and item.applied["b"] <= 0.031


def test_shift_goes_on_from_where_traffic_is():
    item = make()
    for now in range(1, 5):
        step(item, float(now))
        for _ in range(100):
            item.sent("a")
    step(item, 5.0)
    assert 1 - item.applied["a"] <= 0.2 + 1e-9, "four steps were not followed by traffic"


WEIGHTS = st.dictionaries(st.sampled_from("abc"), st.floats(0, 1))


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(st.lists(st.tuples(WEIGHTS, st.sets(st.sampled_from("abc")), st.floats(0, 3)), max_size=20))
def test_cap_holds_for_any_sequence_of_targets(steps):
    item, now, last = make(), 0.0, 0.0
    for weights, cold, pause in steps:
        now += pause
        target = shift.target_weights("a", weights, {"a": 10, "b": 10, "c": 20})
        assert abs(sum(target.values()) - 1) < 1e-9 and min(target.values()) >= 0
        moved = step(item, now, target, cold, ALL)
        assert moved <= LIMITS.cap + 1e-9 and (moved == 0 or now - last >= LIMITS.interval_s)
        last = now if moved else last
        assert abs(sum(item.applied.values()) - 1) < 1e-6 and min(item.applied.values()) >= 0
