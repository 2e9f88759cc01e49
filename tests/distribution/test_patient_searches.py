"""Guards against searches that keep all instances busy, so that none of them ends."""

import threading
import time

import pytest

from oriolelock.distribution import parent_race, parent_search
from tests import waiting
from tests.distribution import tree_rig


def test_attempts_get_rarer_while_no_parent_answers(monkeypatch):
    started = []
    tree = tree_rig.Tree(["r0", "r1"], {"e0": ["r0", "r1"]})
    try:
        waiting.until(lambda: tree.parent_of("e0"))
        race = parent_race.ParentRace
        start = race._start

        def count(item, address, link=None):
            started.append(time.monotonic())
            start(item, address, link)

        monkeypatch.setattr(race, "_start", count)
        for parent in ("r0", "r1"):
            tree.link("e0", parent).hold()
        time.sleep(12.0)
        halves = [
            sum(t < started[0] + 4.0 for t in started),
            sum(t > time.monotonic() - 4.0 for t in started),
        ]
        assert halves[1] <= halves[0] / 2
        for parent in ("r0", "r1"):
            tree.link("e0", parent).release()
        index, acked_s = tree.commit()
        waiting.until(lambda: tree.entries["e0"].used_after(index, acked_s) is not None, 2.0)
    finally:
        tree.close()


@pytest.mark.parametrize(("round_s", "counted"), [(0.2, [0, 1, 2, 3]), (0.0, [0, 0, 0, 0])])
def test_rounds_that_fail_at_once_are_not_counted(monkeypatch, round_s, counted):
    """As when all instances start: parents refuse until they listen."""
    monkeypatch.setattr(parent_race, "CONNECT_LIMIT_S", 0.15)
    rounds, done = [], threading.Event()

    def run_race(stopping, slow_rounds):
        rounds.append(slow_rounds)
        if len(rounds) == 4:
            done.set()
        time.sleep(round_s)
        return parent_search.Round(None, frozenset(), ())

    search = parent_search.ParentSearch(run_race, lambda count: 0.0 if count < 4 else None)
    assert done.wait(5.0)
    search.cancel()
    assert rounds == counted
