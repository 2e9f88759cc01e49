"""Guards against shifts over their cap, and against shifts without current data."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.routing import shift

LIMITS = shift.Limits(0.1, 0.02, 1.0)
TARGET = {"a": 0.2, "b": 0.4, "c": 0.4}
ALL_REGIONS = {"a", "b", "c"}


def step(traffic_shift, now, target=TARGET, cold=(), measured=ALL_REGIONS, control_contact_at=None):
    before = dict(traffic_shift.applied)
    traffic_shift.step(
        target,
        LIMITS,
        cold,
        measured,
        now if control_contact_at is None else control_contact_at,
        now,
    )
    regions = {*before, *traffic_shift.applied}
    return sum(max(0.0, traffic_shift.applied.get(n, 0) - before.get(n, 0)) for n in regions)


def make_shift():
    return shift.Shift({"a": 1.0}, 0.0)


def test_moves_one_cap_per_interval_and_reaches_the_target():
    traffic_shift = make_shift()
    assert step(traffic_shift, 0.9) == 0.0
    moves = [round(step(traffic_shift, float(n)), 9) for n in range(1, 12)]
    assert moves == [0.1] * 8 + [0.0] * 3
    assert all(abs(traffic_shift.applied[r] - TARGET[r]) < 1e-9 for r in ALL_REGIONS)


def test_frozen_process_does_not_catch_up():
    traffic_shift = make_shift()
    assert abs(step(traffic_shift, 3600.0) - 0.1) < 1e-9 and step(traffic_shift, 3600.5) == 0.0


def test_changing_the_target_does_not_add_steps():
    traffic_shift = make_shift()
    total = sum(step(traffic_shift, 1 + n * 0.1, {"a": 0.0, "bc"[n % 2]: 1.0}) for n in range(10))
    assert total <= 0.1 + 1e-9


def test_nothing_moves_while_control_is_silent_or_nothing_is_measured():
    assert step(make_shift(), 10.0, control_contact_at=6.9) == 0.0
    traffic_shift = make_shift()
    assert step(traffic_shift, 1.0, measured={"a", "b"}) > 0.09 and "c" not in traffic_shift.applied


def test_cold_regions_gain_at_most_the_cold_cap():
    traffic_shift = make_shift()
    assert abs(step(traffic_shift, 1.0, cold={"b", "c"}) - 0.02) < 1e-9
    assert (
        abs(step(traffic_shift, 2.0, cold={"b"}) - 0.1) < 0.08
        and traffic_shift.applied["b"] <= 0.031
    )


def test_shift_continues_from_the_actual_traffic():
    traffic_shift = make_shift()
    for now in range(1, 5):
        step(traffic_shift, float(now))
        for _ in range(100):
            traffic_shift.record_sent("a")
    step(traffic_shift, 5.0)
    assert (
        1 - traffic_shift.applied["a"] <= 0.2 + 1e-9
    ), "traffic did not follow the previous four steps"


WEIGHTS = st.dictionaries(st.sampled_from("abc"), st.floats(0, 1))


@settings(derandomize=True, database=None, deadline=None, max_examples=200)
@given(st.lists(st.tuples(WEIGHTS, st.sets(st.sampled_from("abc")), st.floats(0, 3)), max_size=20))
def test_cap_holds_for_any_sequence_of_targets(steps):
    traffic_shift, now, last = make_shift(), 0.0, 0.0
    for weights, cold, pause in steps:
        now += pause
        target = shift.target_weights("a", weights, {"a": 10, "b": 10, "c": 20})
        assert abs(sum(target.values()) - 1) < 1e-9 and min(target.values()) >= 0
        moved = step(traffic_shift, now, target, cold, ALL_REGIONS)
        assert moved <= LIMITS.cap + 1e-9 and (moved == 0 or now - last >= LIMITS.interval_s)
        last = now if moved else last
        assert (
            abs(sum(traffic_shift.applied.values()) - 1) < 1e-6
            and min(traffic_shift.applied.values()) >= 0
        )
