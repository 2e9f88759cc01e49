"""Entries and endpoints that restart, at random: no cold endpoint gets more than it tolerates.

``RESTART_SEEDS=200`` plays more seeds, ``RESTART_FIRST_SEED`` others, ``RESTART_MAX_ENTRIES=24``
larger fleets, and ``RESTART_SILENT=0.5`` more endpoints that end without a sign.
"""

import os
import random

import logbook
import pytest

from oriolelock import clock
from tests.gateway import simulated_fleet

FIRST_SEED = int(os.environ.get("RESTART_FIRST_SEED", "1"))
SEEDS = range(FIRST_SEED, FIRST_SEED + int(os.environ.get("RESTART_SEEDS", "20")))
MAX_ENTRIES = int(os.environ.get("RESTART_MAX_ENTRIES", "7"))
SILENT = float(os.environ.get("RESTART_SILENT", "0.1"))
MAX_REQUESTS_PER_S = 80.0
WARM_UP_S = 2.5
PLAY_S = 7.0
WINDOW_S = 1.0
CALM_SEEDS = range(FIRST_SEED, FIRST_SEED + len(SEEDS) // 4)
# "Hardly any" request is refused, and no doubt lasts longer, while all endpoints are warm.
MAX_LOST_SHARE = 0.01
MAX_DOUBT_S = 0.5


def draw_options(rng, max_entries=MAX_ENTRIES):
    """Return options of a fleet."""
    return simulated_fleet.Options(
        entries=rng.randint(3, max_entries),
        regions=rng.randint(1, 3),
        endpoints=rng.randint(4, 16),
        cold_rate=rng.uniform(2.0, 10.0),
        load=rng.choice((0.4, 0.8, 1.0, 1.3)),
        idle_s=rng.choice((1.5, 3.0, 15.0)),
        keep_alive_s=rng.choice((0, 0, 5)),
        closing=rng.choice((0.0, 0.02, 0.2)),
        losing=rng.choice((0.0, 0.0, 0.005)),
        list_lag_s=rng.uniform(0.5, 1.0),
        tells_cold=rng.random() < 0.7,
        keeps_rows=rng.random() < 0.7,
        segment_loss=rng.choice((0.0, 0.0, 0.01)),
        silent=SILENT,
        max_requests_per_s=MAX_REQUESTS_PER_S,
    )


def act(fleet, rng):
    """Let something happen to a fleet, and what often comes with it."""
    entries, endpoints = fleet.entries, fleet.endpoints

    def some(items, at_most):
        return rng.sample(items, rng.randint(1, max(1, min(len(items), at_most))))

    def later(delay_s, function):
        fleet.network.later(delay_s, function)

    def restart_some(share=1.0):
        for item in some(endpoints, max(1, int(share * len(endpoints)))):
            down_s = rng.choice((rng.uniform(0.1, 0.5), rng.uniform(0.1, 4.0)))
            fleet.restart(item, down_s, rng.random() < fleet.options.silent)

    def cut_some():
        chosen = {entry.host for entry in some(entries, max(1, len(entries) // 2))}
        others = {entry.host for entry in entries} - chosen
        targets = {item.host for item in some(endpoints, len(endpoints))}
        what = rng.choice(("entries", "endpoints", "both"))
        right = (others if what != "endpoints" else set()) | (
            targets if what != "entries" else set()
        )
        duration_s = rng.uniform(0.3, 3.0)
        fleet.cut(chosen, right, duration_s, f"{sorted(chosen)} from {what}")
        for entry in entries:
            if entry.host in chosen and rng.random() < 0.5:
                fleet.blind(entry, duration_s)

    def restart_in_series():
        chosen = some(endpoints, len(endpoints))
        for n in range(3):
            for item in chosen:
                down_s = rng.uniform(0.1, 0.6)
                later(2.0 * n, lambda item=item, down_s=down_s: fleet.restart(item, down_s))

    def kill_entries():
        for entry in some(entries, max(1, len(entries) // 2)):
            fleet.kill_entry(entry, rng.uniform(0.2, 2.0))

    def freeze_entries():
        for entry in some(entries, max(1, len(entries) // 2)):
            fleet.freeze_entry(entry, rng.choice((rng.uniform(0.05, 0.4), rng.uniform(0.5, 3.0))))

    def blind_entries():
        for entry in some(entries, len(entries)):
            fleet.blind(entry, rng.uniform(0.5, 3.0))

    def evacuate():
        domain = rng.choice(endpoints).domain
        fleet.evacuate(domain, rng.uniform(1.0, 3.0), rng.random() < 0.8)

    around = (cut_some, kill_entries, freeze_entries, blind_entries)
    kind = rng.random()
    if kind < 0.35:
        rng.choice(around)()
        later(rng.uniform(0.0, 1.0), restart_some)
    elif kind < 0.65:
        restart_some()
        later(rng.uniform(0.0, 1.0), rng.choice(around))
    elif kind < 0.75:
        restart_in_series()
    elif kind < 0.85:
        evacuate()
    else:
        rng.choice(around)()


def allowed(fleet):
    """Return how many requests a cold endpoint may get in a second."""
    return fleet.options.cold_rate * 1.5 + 5.0


def floods(fleet):
    """Return cold times in which an endpoint got too much: endpoint, start, arrivals."""
    found = []
    for item in fleet.endpoints:
        for begin_s, end_s in item.colds:
            arrivals = [a for a in item.arrivals if begin_s <= a.at_s < end_s]
            most = max(
                (
                    [a for a in arrivals[n:] if a.at_s < first.at_s + WINDOW_S]
                    for n, first in enumerate(arrivals)
                ),
                key=len,
                default=[],
            )
            if len(most) > allowed(fleet):
                found.append((item.name, begin_s, most))
    return found


def play(seed, monkeypatch, options=None):
    """Return a fleet after a random play."""
    rng = random.Random(f"{seed}")
    fleet = simulated_fleet.Fleet(seed, options or draw_options(rng))
    fleet.network.patch(monkeypatch)
    with logbook.NullHandler().applicationbound():
        fleet.begin()
        fleet.call_until(WARM_UP_S + PLAY_S)
        act_s = WARM_UP_S
        while act_s < WARM_UP_S + PLAY_S - 2.0:
            fleet.network.at(act_s, lambda: act(fleet, rng))
            act_s += rng.uniform(0.5, 4.0)
        fleet.network.run_until(WARM_UP_S + PLAY_S + 2.0)
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
def test_no_cold_endpoint_gets_more_than_it_tolerates(seed, monkeypatch):
    fleet = play(seed, monkeypatch)
    found = floods(fleet)
    assert not found, describe(fleet, found)


class _Watch(logbook.Handler):
    """Records how long entries doubt endpoints, ``doubts_s``, and of each request that got an
    endpoint's answer whether it was counted as one to a cold endpoint, ``limited``."""

    INTERVAL_S = 0.02

    def __init__(self, fleet, begin_s):
        super().__init__(level="INFO", bubble=False)
        self._fleet = fleet
        self._begin_s = begin_s
        self.limited = []
        self.doubts_s = []
        self._since = {}
        fleet.network.at(begin_s, self._sample)

    def emit(self, record):
        is_complete = record.extra.get("event") == "complete"
        if is_complete and self._fleet.network.now >= self._begin_s:
            self.limited.append(record.extra["limited"])

    def _sample(self):
        net = self._fleet.network
        net.later(self.INTERVAL_S, self._sample)
        for entry in self._fleet.entries:
            entry.process.within(lambda entry=entry: self._sample_entry(entry))

    def _sample_entry(self, entry):
        now, selector = clock.monotonic_s(), entry.process.core.chooser
        for name, view in selector.views.items():
            key = (entry.name, name)
            if selector.restarts.state(view.restart_digest, now).is_open:
                self._since.setdefault(key, now)
            elif key in self._since:
                self.doubts_s.append(now - self._since.pop(key))

    def open_doubts_s(self):
        """Return the ages of doubts that have not ended."""
        return [
            entry.process.core.chooser.restarts.doubt_age_s(
                entry.process.core.chooser.views[name].restart_digest,
                self._fleet.network.now + entry.process.clock_offset_s,
            )
            for entry in self._fleet.entries
            for name in [name for of_entry, name in self._since if of_entry == entry.name]
        ]


def play_calm(seed, monkeypatch):
    """Return a fleet, and a watch on it, after a play in which no endpoint ends."""
    rng = random.Random(f"calm {seed}")
    options = simulated_fleet.Options(
        entries=rng.randint(3, MAX_ENTRIES),
        regions=rng.randint(1, 3),
        endpoints=rng.randint(4, 16),
        cold_rate=rng.uniform(2.0, 10.0),
        load=rng.choice((0.2, 0.3, 0.5)),
        idle_s=rng.choice((0.7, 1.5, 3.0)),
        keep_alive_s=rng.choice((0, 5)),
        closing=rng.choice((0.02, 0.2, 1.0)),
        losing=0.0,
        max_requests_per_s=MAX_REQUESTS_PER_S,
    )
    fleet = simulated_fleet.Fleet(seed, options)
    fleet.network.patch(monkeypatch)
    watch = _Watch(fleet, WARM_UP_S)
    with watch.applicationbound():
        fleet.begin()
        fleet.call_until(WARM_UP_S + PLAY_S)
        # A lost answer now and then.
        for _ in range(3):
            item = rng.choice(fleet.endpoints)
            fleet.network.at(WARM_UP_S + rng.uniform(0.0, PLAY_S), item.lose_one)
        fleet.network.run_until(WARM_UP_S + PLAY_S)
    return fleet, watch


@pytest.mark.parametrize("seed", CALM_SEEDS)
def test_warm_endpoints_whose_connections_end_one_by_one_lose_nothing(seed, monkeypatch):
    fleet, watch = play_calm(seed, monkeypatch)
    answers = [answer for answer in fleet.answers if answer[0] >= WARM_UP_S]
    refused = [answer for answer in answers if answer[1] == 503]
    assert len(answers) > 50
    assert len(refused) <= MAX_LOST_SHARE * len(answers), (fleet.options, refused[:20])
    share = sum(watch.limited) / len(watch.limited)
    assert share <= MAX_LOST_SHARE, (fleet.options, share)
    longest_s = max(watch.doubts_s + watch.open_doubts_s(), default=0.0)
    assert longest_s <= MAX_DOUBT_S, (fleet.options, sorted(watch.doubts_s)[-10:])


def describe(fleet, found):
    """Return what was done to a fleet, and what came of it."""
    lines = [f"{fleet.options}"]
    lines += [f"{at_s:.3f} {text}" for at_s, text in fleet.notes]
    for name, begin_s, most in found:
        lines.append(f"{name}, cold from {begin_s:.3f}: {len(most)} in a second")
        lines += [f"  {a.at_s:.3f} {a.kind} of {a.entry}" for a in most]
    return "\n".join(lines)
