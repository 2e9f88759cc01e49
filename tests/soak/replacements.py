"""Control replicas are replaced at new addresses, one after the other, under the real programs."""

import argparse
import concurrent.futures
import dataclasses
import pathlib
import random
import re
import shutil
import signal
import sys
import tempfile
import time

from tests.soak import callers, fleet, ledger, main

__all__ = ["Series", "play"]

# Bounds of the users' pages: an order is acknowledged, a read shows it, a new machine counts.
ACK_S = 4.0
CONFIG_APPLY_S = 2.5
CATCH_UP_S = 4.0
GAP_S = 1.0
POLL_S = 0.05


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


class _Broken(Exception):
    """A promise was broken; the series ends."""


class _Player:
    def __init__(self, series, seed, group, operator, book):
        self._series = series
        self._rng = random.Random(seed)
        self._group = group
        self._operator = operator
        self._book = book
        self._started_s = time.monotonic()
        self._newest = ""

    def play(self):
        self._await_leader()
        for number in range(1, self._series.rounds + 1):
            replaced, led = self._replace()
            self._check_service(f"round {number} ({replaced}{', led' if led else ''})")
            self._sleep_until(self._started_s + CATCH_UP_S)
        self._check_service("at the end", lost=())
        self._await_members()

    def _replace(self):
        """Replace one replica; returns its address and whether it led."""
        series, group = self._series, self._group
        leader = self._await_leader()
        old = leader if series.who == "leader" else self._rng.choice(group.control_hosts)
        seeds = self._rng.sample(group.control_hosts, min(fleet.SEEDS, len(group.control_hosts)))
        if series.how == "stop":
            self._add(old, seeds)
            time.sleep(series.gap_s)
            group.stop(old)
        else:
            group.signal(old, signal.SIGSTOP if series.how == "freeze" else signal.SIGKILL)
            time.sleep(series.gap_s)
            self._add(old, seeds)
        group.retire(old)
        return old, old == leader

    def _add(self, old, seeds):
        self._newest = self._group.add_control(old, seeds)
        self._started_s = time.monotonic()

    def _gauges(self, host):
        text = self._operator.metrics(host)
        return {key: int(n) for key, n in re.findall(r"oriolelock_control_(\w+) (\d+)", text)}

    def _find_leader(self):
        found = {host: self._gauges(host) for host in self._group.control_hosts}
        leading = {host: item["term"] for host, item in found.items() if item.get("is_leader")}
        return max(leading, key=leading.get, default="")

    def _await_leader(self):
        end_s = time.monotonic() + ACK_S
        while not (leader := self._find_leader()):
            if time.monotonic() > end_s:
                raise _Broken(f"no leader within {ACK_S} s")
            time.sleep(POLL_S)
        return leader

    def _check_service(self, where, lost=None):
        """A change is acknowledged in time, and all replicas that count tell it in time."""
        began_s = time.monotonic()
        is_acked = self._operator.put_next(ACK_S)
        acked_s = time.monotonic()
        if not is_acked or acked_s - began_s > ACK_S:
            raise _Broken(f"{where}: no change acknowledged within {ACK_S} s")
        lost = (self._newest,) if lost is None else lost
        hosts = [host for host in self._group.control_hosts if host not in lost]
        with concurrent.futures.ThreadPoolExecutor(len(hosts)) as pool:
            told = list(pool.map(lambda h: self._is_told(h, acked_s + CONFIG_APPLY_S), hosts))
        silent = [host for host, is_told in zip(hosts, told, strict=True) if not is_told]
        if silent:
            raise _Broken(f"{where}: not told within {CONFIG_APPLY_S} s by {', '.join(silent)}")

    def _is_told(self, host, end_s):
        while (began_s := time.monotonic()) < end_s:
            revision = self._operator.read(host)
            if revision is not None:
                self._book.reads.append((began_s, revision))
                return True
            time.sleep(POLL_S)
        return False

    def _await_members(self):
        """The members are the living replicas once the last successor has had its time."""
        group = self._group
        end_s = self._started_s + CATCH_UP_S + CONFIG_APPLY_S
        wanted = len(group.control_hosts)
        while True:
            counts = [self._gauges(host).get("replicas") for host in group.control_hosts]
            if counts == [wanted] * wanted:
                break
            if time.monotonic() > end_s:
                raise _Broken(f"{counts} members, not {wanted}")
            time.sleep(POLL_S)
        for host in group.control_hosts:
            group.kill(host)
        for host in group.control_hosts:
            if (found := group.voters(host)) != dict.fromkeys(group.control_hosts, True):
                raise _Broken(f"{host}: members are {found}, not {group.control_hosts}")

    def _sleep_until(self, at_s):
        time.sleep(max(0.0, at_s - time.monotonic()))


def play(series: Series, seed: int, folder: pathlib.Path) -> list[str]:
    """Play one series and return a line for each broken promise."""
    book = ledger.Ledger()
    net, listing = main._take_net(seed, [])
    group = fleet.Fleet(folder, net, 0, series.controls, f"127.{net}.4.1:{main.PORT_LIST}")
    operator = callers.Operator(group.control_hosts, book, seed)
    try:
        group.start_all()
        if not operator.put_next(main.START_LIMIT_S):
            return ["the first configuration was not acknowledged"]
        group.settle()
        time.sleep(CATCH_UP_S)
        try:
            _Player(series, seed, group, operator, book).play()
        except _Broken as exc:
            return [str(exc), *book.broken()]
        return book.broken()
    finally:
        group.stop_all()
        listing.close()


def run(argv: list[str] | None = None) -> int:
    """Run the command; returns 1 when a promise was broken."""
    parser = argparse.ArgumentParser("replacements", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after the other")
    parser.add_argument("--rounds", type=int, default=12)
    parser.add_argument("--controls", type=int, default=5)
    parser.add_argument("--who", choices=("leader", "any"), default="any")
    parser.add_argument("--how", choices=("kill", "freeze", "stop"), default="kill")
    parser.add_argument("--gap", type=float, default=GAP_S, help="seconds until the successor")
    parser.add_argument("--keep", metavar="FOLDER", help="keep settings and logs of broken seeds")
    args = parser.parse_args(argv)
    series = Series(args.controls, args.rounds, args.who, args.how, args.gap)
    failed = False
    for seed in range(args.seed, args.seed + args.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"replacements-{seed}-"))
        try:
            broken = play(series, seed, folder)
            print(f"seed {seed}: {series}: {broken or 'kept'}", flush=True)
            failed = failed or bool(broken)
            if broken and args.keep:
                shutil.copytree(folder, pathlib.Path(args.keep) / f"seed-{seed}-{args.how}")
        finally:
            shutil.rmtree(folder, ignore_errors=True)
    return int(failed)


if __name__ == "__main__":
    sys.exit(run())
