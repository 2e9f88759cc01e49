"""Guards against a leader that answers a read of each entry of a large fleet."""

import concurrent.futures
import random

import pytest

from oriolelock.control import shared_reads


class Reads:
    """Keeps what was started: time, group, timeout and future."""

    def __init__(self):
        self.started = []
        self.now = 0.0
        self.shared = shared_reads.SharedReads(self.read)

    def read(self, group, timeout_s):
        fut = concurrent.futures.Future()
        self.started.append((self.now, group, timeout_s, fut))
        return fut

    def join(self, now, group="config", timeout_s=1.0):
        self.now = now
        return self.shared.join(group, timeout_s, now)

    def flush(self, now):
        self.now = now
        self.shared.flush(now)


@pytest.mark.parametrize("phase_s", [0.0, 0.02, 0.04])
@pytest.mark.parametrize("seed", range(5))
def test_many_reads_are_few_and_each_begins_after_it_was_asked_for(seed, phase_s):
    """They are flushed as seldom as the sum of bounds counts."""
    rng, reads, asked = random.Random(seed), Reads(), []
    next_flush_s = phase_s
    for step in range(1, 1000):
        now = step * 0.01
        if now >= next_flush_s:
            reads.flush(now)
            next_flush_s += shared_reads.INTERVAL_S
        asked += [(now, reads.join(now)) for _ in range(rng.randrange(30))]
    reads.flush(20.0)
    assert len(reads.started) <= 10.0 / shared_reads.INTERVAL_S + 2
    for started_s, _, _, fut in reads.started:
        fut.set_result(started_s)
    for asked_s, fut in asked:
        assert asked_s <= fut.result(0) <= 20.0
    late_s = [fut.result(0) - asked_s for asked_s, fut in asked if fut.result(0) < 20.0]
    assert max(late_s) <= shared_reads.INTERVAL_S + 0.011


def test_a_read_alone_is_not_delayed():
    reads = Reads()
    for number in range(5):
        reads.join(number * 0.4)
    assert [started_s for started_s, *_ in reads.started] == [n * 0.4 for n in range(5)]


def test_a_shared_read_ends_when_the_first_that_waits_for_it_must_end():
    reads = Reads()
    reads.join(0.0)
    reads.join(0.01)
    reads.join(0.04)
    reads.flush(0.05)
    assert reads.started[1][2] == pytest.approx(0.96)


def test_groups_and_timeouts_are_not_mixed():
    reads = Reads()
    for group, timeout_s in (("config", 1.0), ("config", 4.0), ("records", 1.0)):
        reads.join(0.0, group, timeout_s)
    assert [item[1:3] for item in reads.started] == [
        ("config", 1.0),
        ("config", 4.0),
        ("records", 1.0),
    ]


def test_a_read_that_hangs_holds_up_no_later_one():
    reads = Reads()
    reads.join(0.0)
    first = reads.join(0.01)
    reads.flush(0.05)
    second = reads.join(0.2)
    reads.started[2][3].set_result("confirmed")
    assert (first.done(), second.result(0)) == (False, "confirmed")
