"""Doubts whether endpoints have started again, as entries record and merge them."""

import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies as st

from oriolelock.dispatch import restarts
from tests.dispatch import builders

IN_DOUBT, UNCHECKED, ASSUMED_COLD, COLD, SETTLED = restarts.State
COLD_S = 3.0
WALL_S = 1_000.0


def raised(now=0.0, wall_s=WALL_S):
    known = restarts.Restarts()
    known.retain({7}, now)
    assert known.raise_doubt(7, now, wall_s)
    return known


def test_endpoint_without_a_sign_is_settled():
    known = restarts.Restarts()
    assert known.state(7, 0.0) is SETTLED
    assert known.doubt_age_s(7, 0.0) is None
    assert known.cold_left_s(7, 0.0) == 0.0
    assert known.report(7, 0.0) is None
    assert known.reports(0.0) == []


def test_sign_puts_an_endpoint_in_doubt_until_it_is_known_to_be_cold_or_warm():
    known = raised()
    assert known.state(7, 1.0) is IN_DOUBT
    assert known.doubt_age_s(7, 1.0) == 1.0
    assert known.record_cold(7, COLD_S, COLD_S, 1.0, WALL_S)
    assert not known.record_cold(7, COLD_S - 0.5, COLD_S, 1.5, WALL_S)
    assert known.state(7, 3.9) is COLD
    assert known.cold_left_s(7, 3.0) == pytest.approx(1.0)
    other = raised()
    assert other.settle(7, 0.5)
    assert other.state(7, 0.5) is SETTLED
    assert not other.settle(7, 0.6)


def test_end_of_the_cold_time_is_checked():
    """Guards against a second start during the cold time of the first, which nobody saw."""
    known = raised()
    known.record_cold(7, COLD_S, COLD_S, 0.0, WALL_S)
    number = known.report(7, 1.0).number
    assert known.state(7, COLD_S) is COLD
    assert known.cold_left_s(7, COLD_S + restarts.COLD_SLACK_S / 2) >= 0.0
    assert known.report(7, COLD_S + restarts.COLD_SLACK_S / 2).cold_s >= 0.0
    assert known.state(7, COLD_S + 2 * restarts.COLD_SLACK_S) is UNCHECKED
    assert known.report(7, COLD_S + 2 * restarts.COLD_SLACK_S).number > number
    assert known.settle(7, COLD_S + 0.3)
    assert known.state(7, COLD_S + 0.4) is SETTLED


def test_second_sign_in_a_doubt_is_not_new():
    known = raised()
    assert not known.raise_doubt(7, 1.0, WALL_S + 1)
    assert known.doubt_age_s(7, 2.0) == 2.0


def test_sign_after_a_doubt_has_ended_raises_one_with_a_higher_number():
    known = raised()
    first = known.report(7, 0.0).number
    known.settle(7, 0.1)
    # The clock may have been set back.
    assert known.raise_doubt(7, 0.2, WALL_S - 100)
    assert known.report(7, 0.2).number > first


def test_entries_that_see_the_same_end_give_it_the_same_number():
    assert raised(5.0, 1000.2).report(7, 5.0).number == raised(9.0, 1000.9).report(7, 9.0).number


def test_cold_endpoint_without_a_doubt_is_recorded():
    known = restarts.Restarts()
    assert known.record_cold(7, COLD_S, COLD_S, 0.0, WALL_S)
    assert known.state(7, 1.0) is COLD


def test_end_of_the_cold_time_is_never_moved_forward():
    known = raised()
    known.record_cold(7, COLD_S, COLD_S, 0.0, WALL_S)
    known.record_cold(7, 0.5, COLD_S, 0.1, WALL_S)
    assert known.cold_left_s(7, 1.0) == pytest.approx(2.0)


def test_response_over_a_connection_that_is_older_than_the_cold_time_ends_a_doubt():
    known = raised(now=10.0)
    transit_s = restarts.IN_TRANSIT_S
    # It may have been sent before the end.
    assert not known.record_response(7, 0.0, COLD_S, 10.0 + transit_s / 2)
    # The connection may be to the new start.
    assert not known.record_response(7, 9.0, COLD_S, 10.5)
    assert known.state(7, 10.5) is IN_DOUBT
    assert known.record_response(7, 0.0, COLD_S, 10.5)
    assert known.state(7, 10.5) is SETTLED


def test_response_soon_after_a_later_sign_does_not_end_a_doubt():
    known = raised(now=10.0)
    known.raise_doubt(7, 11.0, WALL_S)
    assert not known.record_response(7, 0.0, COLD_S, 11.0 + restarts.IN_TRANSIT_S / 2)
    assert known.record_response(7, 0.0, COLD_S, 11.0 + restarts.IN_TRANSIT_S)


def test_response_does_not_make_a_cold_endpoint_warm():
    known = raised()
    known.record_cold(7, COLD_S, COLD_S, 0.0, WALL_S)
    assert not known.record_response(7, -100.0, COLD_S, 2.0)
    assert known.state(7, 2.0) is COLD


def test_response_over_an_old_connection_does_not_end_a_doubt_that_asks_for_a_check():
    """Guards against an endpoint that turns cold without an end, after an evacuation."""
    known = restarts.Restarts()
    known.retain({7}, 0.0)
    assert known.raise_doubt(7, 10.0, WALL_S, UNCHECKED)
    assert not known.record_response(7, 0.0, COLD_S, 11.0)
    assert known.state(7, 11.0) is UNCHECKED
    # Nor does it if a sign of an end came before or comes after.
    assert not known.raise_doubt(7, 11.0, WALL_S)
    assert not known.record_response(7, 0.0, COLD_S, 12.0)
    other = raised(now=10.0)
    assert not other.raise_doubt(7, 10.5, WALL_S, UNCHECKED)
    assert not other.record_response(7, 0.0, COLD_S, 12.0)
    assert other.settle(7, 12.0)


def test_connection_from_before_a_known_start_is_told_from_later_ones():
    known = raised(now=10.0)
    assert not known.is_of_earlier_start(7, 5.0, 10.1)
    known.record_cold(7, 2.8, COLD_S, 10.5, WALL_S)
    assert known.is_of_earlier_start(7, 10.2, 10.6)
    assert not known.is_of_earlier_start(7, 10.4, 10.6)
    assert not known.is_of_earlier_start(8, 5.0, 10.6)


def test_doubts_in_series_don_t_let_the_turns_of_checks_come_at_once():
    known = raised(now=10.0)
    known.record_cold(7, COLD_S, COLD_S, 10.1, WALL_S)
    known.raise_doubt(7, 10.2, WALL_S)
    assert known.doubt_age_s(7, 10.2) < 0.0
    assert known.doubt_age_s(7, 10.1 + restarts.MIN_CHECK_INTERVAL_S + 0.01) >= 0.0
    assert restarts.check_turn("x", 4.0, ("e1",), (), "e1", -0.01) is None


def test_report_of_a_later_state_replaces_an_earlier_one_and_not_the_reverse():
    known = raised()
    number = known.report(7, 0.0).number
    assert known.merge(restarts.Report(7, number, COLD, COLD_S), COLD_S, 1.0)
    assert known.cold_left_s(7, 1.0) == pytest.approx(COLD_S)
    assert not known.merge(restarts.Report(7, number, IN_DOUBT), COLD_S, 1.1)
    assert known.state(7, 1.1) is COLD
    assert known.merge(restarts.Report(7, number, SETTLED), COLD_S, 1.2)
    assert not known.merge(restarts.Report(7, number, COLD, COLD_S), COLD_S, 1.3)
    assert known.state(7, 1.3) is SETTLED


def test_report_of_an_earlier_doubt_changes_nothing():
    known = raised()
    number = known.report(7, 0.0).number
    assert not known.merge(restarts.Report(7, number - 1, SETTLED), COLD_S, 1.0)
    assert not known.merge(restarts.Report(7, number - 1, COLD, COLD_S), COLD_S, 1.0)
    assert known.state(7, 1.0) is IN_DOUBT


def test_report_of_a_later_doubt_replaces_all_that_was_known():
    known = raised()
    number = known.report(7, 0.0).number
    known.settle(7, 0.5)
    assert known.merge(restarts.Report(7, number + 1, IN_DOUBT, age_s=0.1), COLD_S, 1.0)
    assert known.state(7, 1.0) is IN_DOUBT
    assert known.doubt_age_s(7, 1.5) == pytest.approx(0.5)


def test_other_entrys_end_of_a_doubt_does_not_cover_a_later_sign_of_this_one():
    known = raised()
    number = known.report(7, 0.0).number
    known.raise_doubt(7, 2.0, WALL_S)
    known.merge(restarts.Report(7, number, SETTLED, age_s=1.0), COLD_S, 2.5)
    assert known.state(7, 2.5) is IN_DOUBT
    report = known.report(7, 2.5)
    assert report.number > number
    # The other entry learns of it.
    other = restarts.Restarts()
    other.retain({7}, 0.0)
    other.merge(restarts.Report(7, number, SETTLED), COLD_S, 2.5)
    assert other.merge(report, COLD_S, 2.6)
    assert other.state(7, 2.6) is IN_DOUBT


def test_entry_that_was_cut_off_forgets_open_doubts_and_keeps_cold_endpoints():
    known = raised()
    known.retain({7, 8}, 0.0)
    known.record_cold(8, COLD_S, COLD_S, 0.0, WALL_S)
    known.withdraw_doubts(0.1)
    assert known.state(7, 0.1) is SETTLED
    assert known.state(8, 0.1) is COLD
    # It does not take the endpoint for warm.
    assert known.unsure_age_s(7, 0.2) == pytest.approx(0.1)
    assert known.unsure_age_s(8, 0.2) is None


def test_uncertainty_ends_with_a_proof_or_with_the_time():
    known = restarts.Restarts()
    known.mark_unsure(7, 10.0)
    assert known.unsure_age_s(7, 10.5) == pytest.approx(0.5)
    assert known.unsure_age_s(8, 10.5) is None
    # A new connection may be to the new start.
    known.record_response(7, 9.0, COLD_S, 10.5)
    assert known.unsure_age_s(7, 10.5) is not None
    known.settle(7, 10.6)
    assert known.unsure_age_s(7, 10.6) is None
    known.mark_unsure(7, 20.0)
    known.record_response(7, 15.0, COLD_S, 20.5)
    assert known.unsure_age_s(7, 20.5) is None
    known.mark_unsure(7, 30.0)
    assert known.unsure_age_s(7, 30.1 + restarts.UNSURE_S) is None


def test_older_word_of_another_entry_does_not_end_uncertainty():
    known = restarts.Restarts()
    known.retain({7}, 0.0)
    known.mark_unsure(7, 10.0)
    known.merge(restarts.Report(7, 5, SETTLED, age_s=0.6), COLD_S, 10.5)
    assert known.unsure_age_s(7, 10.5) is not None
    known.merge(restarts.Report(7, 5, SETTLED, age_s=0.1), COLD_S, 10.5)
    assert known.unsure_age_s(7, 10.5) is None


def test_doubt_that_was_raised_before_a_start_says_nothing_of_it():
    known = raised(wall_s=1000.0)
    # Raised at 0 s of the entry's clock, which is the Unix time 1000.
    assert known.is_known_since(7, 999.0, 5.0, 1005.0)
    assert known.is_known_since(7, 1000.0, 5.0, 1005.0)
    assert not known.is_known_since(7, 1001.0, 5.0, 1005.0)
    assert not known.is_known_since(8, 0.0, 5.0, 1005.0)


def test_ended_doubts_are_told_for_a_while_so_that_all_entries_learn_of_the_end():
    known = raised()
    known.settle(7, 1.0)
    assert [report.state for report in known.reports(1.5)] == [SETTLED]
    assert known.reports(2.0 + restarts.SETTLED_MEMORY_S) == []


def test_reports_tell_what_is_left_of_the_cold_time_and_their_age():
    known = raised()
    known.record_cold(7, COLD_S, COLD_S, 1.0, WALL_S)
    report = known.report(7, 2.0)
    assert (report.state, report.cold_s, report.age_s) == (COLD, pytest.approx(2.0), 1.0)


def test_latest_doubts_are_told_first():
    known = restarts.Restarts()
    known.retain(set(range(5)), 0.0)
    for digest in range(5):
        known.raise_doubt(digest, 0.1 * digest, WALL_S)
    assert [report.endpoint_digest for report in known.reports(1.0)] == [4, 3, 2, 1, 0]


def test_number_of_reports_on_endpoints_that_are_not_listed_is_bounded():
    """Guards against growth without bound by reports of endpoints that never come."""
    known = raised()
    for digest in range(100, 100 + 2 * restarts.MAX_UNLISTED):
        known.merge(restarts.Report(digest, 5, IN_DOUBT), COLD_S, 1.0)
    assert len(known.reports(1.0)) <= restarts.MAX_UNLISTED + 2
    # What was heard before the list told of the endpoint counts.
    assert known.state(99 + 2 * restarts.MAX_UNLISTED, 1.0) is IN_DOUBT
    known.retain({7}, 2.0 + restarts.UNLISTED_MEMORY_S)
    assert [report.endpoint_digest for report in known.reports(40.0)] == [7]


REPORTS = st.builds(
    restarts.Report,
    st.sampled_from([7, 8]),
    st.integers(0, 3),
    st.sampled_from(restarts.State),
    st.floats(0.0, 5.0),
    st.floats(0.0, 2.0),
)


@hypothesis.given(st.lists(REPORTS, max_size=6), st.randoms(use_true_random=False))
def test_reports_merge_to_the_same_in_any_order(reports, rng):
    def merged(items):
        known = restarts.Restarts()
        known.retain({7, 8}, 0.0)
        for report in items:
            known.merge(report, COLD_S, 100.0)
            known.merge(report, COLD_S, 100.0)
        return {
            digest: (report.number, report.state) if report else None
            for digest in (7, 8)
            for report in [known.report(digest, 100.0)]
        }

    shuffled = list(reports)
    rng.shuffle(shuffled)
    assert merged(reports) == merged(shuffled)


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["sign", "cold", "warm", "response", "tell"]),
        st.integers(0, 2),
        st.floats(0.0, 2.0),
    ),
    max_size=30,
)


@hypothesis.given(ACTIONS)
def test_entries_that_hear_each_other_agree(actions):
    entries = [restarts.Restarts() for _ in range(3)]
    now = 100.0
    for known in entries:
        known.retain({7}, now)
    for action, number, pause_s in actions:
        now += pause_s
        known = entries[number]
        match action:
            case "sign":
                known.raise_doubt(7, now, WALL_S + now)
            case "cold":
                known.record_cold(7, COLD_S, COLD_S, now, WALL_S + now)
            case "warm":
                known.settle(7, now)
            case "response":
                known.record_response(7, now - 10.0, COLD_S, now)
            case "tell":
                for report in known.reports(now):
                    entries[(number + 1) % 3].merge(report, COLD_S, now)
    exchange_reports(entries, now)
    states = {known.state(7, now) for known in entries}
    assert len(states) == 1
    if states != {restarts.State.SETTLED}:
        assert len(numbers_of(entries, now)) == 1
    # Numbers of doubts that ended long ago may differ, those of the next end that all see do not.
    now += 1.0
    for known in entries:
        known.raise_doubt(7, now, WALL_S + now)
    exchange_reports(entries, now)
    assert {known.state(7, now) for known in entries} <= {IN_DOUBT, restarts.State.UNCHECKED}
    assert len({known.state(7, now) for known in entries}) == 1
    assert len(numbers_of(entries, now)) == 1


def exchange_reports(entries, now):
    """Play rounds enough for each report to travel to all, and to be answered by a later number."""
    for _ in range(8):
        for sender, receiver in itertools.permutations(entries, 2):
            for report in sender.reports(now):
                receiver.merge(report, COLD_S, now)


def numbers_of(entries, now):
    return {report.number for known in entries if (report := known.report(7, now))}


def test_the_end_of_a_doubt_is_told_again_to_an_entry_that_is_still_in_doubt():
    """Guards against two entries that differ for good, as the end is told for some seconds only."""
    first, second = restarts.Restarts(), restarts.Restarts()
    for known in (first, second):
        known.retain({7}, 100.0)
        known.raise_doubt(7, 100.0, WALL_S)
    second.settle(7, 100.5)
    late_s = 100.5 + restarts.SETTLED_TOLD_S + 1.0
    assert second.reports(late_s) == []
    for report in first.reports(late_s):
        second.merge(report, COLD_S, late_s)
    for report in second.reports(late_s + 0.1):
        first.merge(report, COLD_S, late_s + 0.1)
    assert first.state(7, late_s + 0.1) is restarts.State.SETTLED
    # Not for longer than that.
    assert second.reports(late_s + restarts.SETTLED_TOLD_S + 0.1) == []


@pytest.mark.parametrize("rate", [0.5, 1.0, 2.0, 4.2, 10.0])
@pytest.mark.parametrize("count", [1, 3, 24])
def test_checks_in_turn_stay_within_the_rate_of_a_cold_endpoint(rate, count):
    names = [f"e{n}" for n in range(count)]
    local, remote = names[: count // 2], names[count // 2 :]
    taken = {}
    for step in range(1000):
        age_s = step * 0.01
        for own in names:
            turn = restarts.check_turn("x", rate, local, remote, own, age_s)
            if turn is not None:
                taken.setdefault((turn, own), age_s)
    times = sorted(taken.values())
    for first in times:
        assert sum(first <= at_s < first + 1.0 for at_s in times) <= max(1, int(rate))
    # One entry a turn, and all of them in the end.
    assert len({turn for turn, _ in taken}) == len(taken)
    assert {own for _, own in taken} <= set(names)


def test_entries_of_both_kinds_check_by_turns_as_a_region_may_be_lost():
    local, remote = ["e1", "e2"], ["e3", "e4", "e5"]
    order = [
        own
        for turn in range(5)
        for own in (*local, *remote)
        if restarts.check_turn("x", 4.0, local, remote, own, (turn + 0.5) * 0.275) is not None
    ]
    assert set(order[:4:2]) == set(local)
    assert set(order[1:4:2]) < set(remote)
    assert sorted(order) == ["e1", "e2", "e3", "e4", "e5"]


def test_nobody_has_a_turn_in_an_empty_fleet():
    assert restarts.check_turn("x", 4.0, (), (), "e1", 0.0) is None


def test_digest_outlives_a_start_and_tells_addresses_apart():
    def digest(**overrides):
        return restarts.endpoint_digest(builders.make_endpoint("x", **overrides))

    assert digest(started_ms=1) == digest(started_ms=2, cold=True)
    assert digest() != restarts.endpoint_digest(builders.make_endpoint("y"))


def use_at_random(known, rng, now):
    digest = rng.randrange(4)
    report = restarts.Report(digest, rng.randrange(300), rng.choice(list(restarts.State)))
    rng.choice(
        (
            lambda: known.raise_doubt(digest, now, now),
            lambda: known.record_cold(digest, COLD_S, COLD_S, now, now),
            lambda: known.settle(digest, now),
            lambda: known.record_response(digest, now - 10.0, COLD_S, now),
            lambda: known.merge(report, COLD_S, now),
            lambda: known.withdraw_doubts(now),
            lambda: known.mark_unsure(digest, now),
            lambda: known.vouch(digest, now, now),
            lambda: known.retain({1, 2}, now),
        )
    )()


def test_random_use_never_fails():
    rng = random.Random(1)
    known = restarts.Restarts()
    known.retain({1, 2}, 0.0)
    for step in range(3000):
        now = step * 0.05
        use_at_random(known, rng, now)
        assert all(report.age_s >= 0.0 for report in known.reports(now))
        assert set(known.counts(now)) == {IN_DOUBT, UNCHECKED, ASSUMED_COLD, COLD}


def test_doubts_of_endpoints_that_are_not_listed_end():
    """Guards against doubts that entries tell each other for good, as nobody can check them."""
    first, second = restarts.Restarts(), restarts.Restarts()
    for known in (first, second):
        known.retain({7}, 0.0)
    first.raise_doubt(7, 0.0, WALL_S)
    for step in range(100):
        now = 1.0 + step
        for known, other in ((first, second), (second, first)):
            listed = {7} if step < 3 else set()
            known.retain(listed, now)
            for report in known.reports(now):
                other.merge(report, COLD_S, now)
    assert first.report(7, 101.0) is None
    assert second.report(7, 101.0) is None


def test_cold_time_does_not_grow_with_each_hop():
    """Guards against endpoints that get less long after they are warm."""
    known = [restarts.Restarts() for _ in range(20)]
    known[0].record_cold(7, COLD_S, COLD_S, 0.0, WALL_S)
    for number in range(1, 200):
        now = 0.01 * number
        report = known[(number - 1) % 20].report(7, now - 0.01)
        known[number % 20].merge(report, COLD_S, now)
    assert max(item.cold_left_s(7, 2.0) for item in known) <= COLD_S - 2.0 + 0.5 + 0.01


def test_endpoint_whose_checks_do_not_tell_is_settled_after_the_cold_time():
    known = raised()
    assert known.record_cold(7, COLD_S, COLD_S, 0.0, WALL_S, ASSUMED_COLD)
    assert known.state(7, COLD_S - 0.1) is ASSUMED_COLD
    assert known.state(7, COLD_S + restarts.COLD_SLACK_S) is SETTLED
