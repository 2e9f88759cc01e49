"""Control replicas are replaced at new addresses, one after the other, under the real programs."""

import argparse
import dataclasses
import pathlib
import random
import signal
import sys
import time

from tests.soak import bare_fleet, control_group, fleet, seeds

__all__ = ["Series", "play"]

GAP_S = 1.0


@dataclasses.dataclass(frozen=True)
class Series:
    """``who`` is replaced: ``leader``, or ``any``, drawn at random.

    ``how`` it goes: ``kill``, ``freeze`` (it falls silent, its connections stay open) or ``stop``
    (planned: the successor starts first).
    """

    controls: int = 5
    rounds: int = 6
    who: str = "leader"
    how: str = "kill"
    # Between the loss and the start of the successor, or between that and the planned stop.
    gap_s: float = GAP_S


class _Player:
    def __init__(self, series, seed, group, operator, book):
        self._series = series
        self._rng = random.Random(seed)
        self._group = group
        self._control = control_group.ControlGroup(group, operator, book)
        self._started_s = time.monotonic()
        self._newest = ""

    def play(self):
        for number in range(1, self._series.rounds + 1):
            leader = self._control.await_leader()
            old = leader if self._series.who == "leader" else self._draw()
            self._replace(old)
            where = f"round {number} ({old}{', led' if old == leader else ''})"
            self._control.check_service(where, lost=(self._newest,))
            self._sleep_until(self._started_s + control_group.CATCH_UP_S)
        self._control.check_service("at the end")
        self._sleep_until(self._started_s + control_group.CATCH_UP_S + control_group.CONFIG_APPLY_S)
        self._control.check_members()

    def _draw(self):
        return self._rng.choice(self._group.control_hosts)

    def _replace(self, old):
        series, group = self._series, self._group
        seeds = self._rng.sample(group.control_hosts, min(fleet.SEEDS, len(group.control_hosts)))
        if series.how == "stop":
            self._add(old, seeds)
            time.sleep(series.gap_s)
            self._control.stop(old)
        else:
            group.signal(old, signal.SIGSTOP if series.how == "freeze" else signal.SIGKILL)
            time.sleep(series.gap_s)
            self._add(old, seeds)
        group.retire(old)

    def _add(self, old, seeds):
        self._newest = self._group.add_control(old, seeds)
        self._started_s = time.monotonic()

    def _sleep_until(self, at_s):
        time.sleep(max(0.0, at_s - time.monotonic()))


def play(series: Series, seed: int, folder: pathlib.Path) -> list[str]:
    """Play one series and return a line for each broken promise."""
    broken: list[str] = []
    try:
        with bare_fleet.start(seed, folder, 0, series.controls) as (group, operator, book):
            time.sleep(control_group.CATCH_UP_S)
            try:
                _Player(series, seed, group, operator, book).play()
            finally:
                broken = book.broken()
    except control_group.Broken as exc:
        return [str(exc), *broken]
    return broken


def run(argv: list[str] | None = None) -> int:
    """Run the command; returns 1 when a promise was broken."""
    parser = argparse.ArgumentParser("replacements", description=__doc__)
    seeds.add_arguments(parser)
    parser.add_argument("--rounds", type=int, default=12)
    parser.add_argument("--controls", type=int, default=5)
    parser.add_argument("--who", choices=("leader", "any"), default="any")
    parser.add_argument("--how", choices=("kill", "freeze", "stop"), default="kill")
    parser.add_argument("--gap", type=float, default=GAP_S, help="seconds until the successor")
    args = parser.parse_args(argv)
    series = Series(args.controls, args.rounds, args.who, args.how, args.gap)

    def play_one(seed, folder):
        broken = play(series, seed, folder)
        print(f"seed {seed}: {series}, {len(broken)} broken promises", flush=True)
        return broken

    return seeds.play_all(args, play_one)


if __name__ == "__main__":
    sys.exit(run())
