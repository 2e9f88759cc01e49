"""Guards against ages that are too low, or that one slow ping makes too high for long."""

import random

import pytest

from oriolelock.distribution import pings


def test_a_ping_is_repeated_until_one_is_fast():
    pinged = pings.Pings(0.0)
    assert not pinged.take_due(0.9)
    assert pinged.take_due(1.0)
    assert pinged.made_s(1.0, 0.1, 1.1 + pings.SLOW_S) == 1.1
    assert pinged.take_due(2.0)
    # Returned by a message that was on its way.
    assert pinged.made_s(1.0, 0.5, 2.1) == 1.5
    assert pinged.take_due(3.0)
    assert pinged.made_s(3.0, 0.2, 3.25) == 3.2
    # A slow message says nothing of the ping.
    assert pinged.made_s(3.0, 1.2, 4.9) == 4.2
    assert not pinged.take_due(2.9 + pings.QUIET_INTERVAL_S)
    assert pinged.take_due(3.0 + pings.QUIET_INTERVAL_S)


def test_a_ping_that_was_neither_slow_nor_fast_is_kept_for_a_shorter_time():
    """Several such hops would make the leader's word look older than a parent may tell."""
    pinged = pings.Pings(0.0)
    pinged.made_s(0.0, 0.5, 0.5 + 1.5 * pings.FAST_S)
    assert not pinged.take_due(0.9 * pings.USUAL_INTERVAL_S)
    assert pinged.take_due(pings.USUAL_INTERVAL_S)
    now = pings.USUAL_INTERVAL_S
    pinged.made_s(now, 0.5, now + 0.5 + 0.5 * pings.FAST_S)
    assert not pinged.take_due(now + 0.9 * pings.QUIET_INTERVAL_S)


def test_an_unanswered_ping_is_repeated():
    pinged = pings.Pings(0.0)
    assert [pinged.take_due(float(second)) for second in range(5)] == [False] + [True] * 4


@pytest.mark.parametrize("seed", range(20))
def test_no_message_counts_as_later_than_it_was_made(seed):
    rng = random.Random(seed)
    pinged, arrived = pings.Pings(0.0), (0.0, rng.uniform(0.0, 1.0))
    now = arrived[1]
    for _ in range(500):
        now += rng.uniform(0.0, 0.4)
        if pinged.take_due(now):
            arrived = now, now + rng.choice((0.01, rng.uniform(0.0, 2.0)))
            now = max(now, arrived[1])
        made_s, now = now, now + rng.choice((0.01, rng.uniform(0.0, 2.0)))
        assert pinged.made_s(arrived[0], made_s - arrived[1], now) <= made_s + 1e-9
