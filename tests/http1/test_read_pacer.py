"""Data in small pieces must leave most of the loop's time to others."""

import pytest

from oriolelock.http1 import read_pacer


class FakeLoop:
    def __init__(self):
        self.read_pacer = read_pacer.ReadPacer()
        self.timers = []

    def call_later(self, delay_s, callback):
        self.timers.append((delay_s, callback))


def test_usual_reads_are_not_delayed_and_grow():
    reads = read_pacer.PacedReads(FakeLoop(), lambda: None)
    for _ in range(10):
        reads.record(3, 0.0)
        assert not reads.is_paused
    assert reads.size == read_pacer.MAX_READ_BYTES


def test_a_pause_ends_with_its_timer_or_before():
    loop, changes = FakeLoop(), []
    reads = read_pacer.PacedReads(loop, lambda: changes.append(reads.is_paused))
    reads.record(1000, 0.0)
    loop.timers.pop()[1]()
    assert changes == [True, False]
    reads.record(1000, 0.0)
    reads.end_pause()
    loop.timers.pop()[1]()
    assert changes == [True, False, True]


@pytest.mark.parametrize("connections", [1, 12, 100])
def test_small_pieces_take_a_bounded_share_of_time_whatever_their_connections(connections):
    loop = FakeLoop()
    reads = [read_pacer.PacedReads(loop, lambda: None) for _ in range(connections)]
    due_s, busy_s, now = [0.0] * connections, 0.0, 0.0
    while now < 100.0:
        number = min(range(connections), key=due_s.__getitem__)
        now = max(now, due_s[number])
        pieces = reads[number].size // 7
        busy_s += pieces * read_pacer.PIECE_COST_S
        now += pieces * read_pacer.PIECE_COST_S
        reads[number].record(pieces, now)
        due_s[number] = now + loop.timers.pop()[0]
    assert busy_s / now <= read_pacer.MAX_TIME_SHARE + 0.02
    # None of them holds up the loop for long.
    assert {item.size for item in reads} <= {read_pacer.MIN_READ_BYTES, 2 * 2048, 4 * 2048}
