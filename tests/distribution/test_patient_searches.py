"""Guards against searches that keep all instances busy, so that none of them ends."""

import threading
import time

from oriolelock.distribution import parent_search, uplink
from tests import waiting
from tests.distribution import tree_rig


def test_attempts_get_rarer_while_no_parent_answers(monkeypatch):
    started = []
    tree = tree_rig.Tree(["r0", "r1"], {"e0": ["r0", "r1"]})
    try:
        waiting.until(lambda: tree.parent_of("e0"))
        race = uplink.parent_race.ParentRace
        start = race._start

        def count(item, address):
            started.append(time.monotonic())
            start(item, address)

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


def test_a_search_tells_how_many_rounds_were_in_vain():
    rounds, stopping = [], threading.Event()

    def run_race(stopped, count):
        rounds.append(count)
        if count == 3:
            stopping.set()
        return parent_search.Round(None, frozenset(), ())

    search = parent_search.ParentSearch(run_race, lambda count: 0.0 if count < 4 else None)
    assert stopping.wait(5.0)
    search.cancel()
    assert rounds == [0, 1, 2, 3]
