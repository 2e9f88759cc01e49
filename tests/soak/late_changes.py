"""Routes change while entries and control replicas are hit, under the real programs.

An entry that isn't hit itself must use each change in time, also below one that is hit.
"""

import argparse
import collections.abc
import dataclasses
import json
import pathlib
import random
import signal
import sys
import threading
import time

from tests.soak import bare_fleet, control_group, seeds

__all__ = ["Hit", "find_late", "play"]

# The users' bounds: since when an entry must not have been hit, and by how much a change may be
# later when the leader was hit.
CONTACT_S = 4.0
STRETCH_S = 5.0
MEAN_GAP_S = 0.7
# Of all hits; the others are of control replicas, one at a time.
ENTRY_PART = 0.7
MOST_ENTRIES_HIT = 0.3
# Shortest and longest duration.
KINDS = {"kill": (0.2, 1.5), "pause": (0.3, 4.0), "stop": (0.2, 0.5)}
STOP_LIMIT_S = 7.0


@dataclasses.dataclass(frozen=True)
class Hit:
    """What a process suffered; ``end_s`` is infinite as long as it lasts."""

    host: str
    start_s: float
    end_s: float
    of_leader: bool = False

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether the hit and a span of time have a moment in common."""
        return self.start_s <= end_s and start_s <= self.end_s


def find_late(
    acknowledged: collections.abc.Iterable[tuple[float, int]],
    used: collections.abc.Mapping[str, collections.abc.Sequence[tuple[float, int]]],
    hits: collections.abc.Sequence[Hit],
    end_s: float,
) -> tuple[int, list[str]]:
    """Return how many pairs of an entry and a change were checked, and a line for each late one.

    ``used``: by entry, when which revision came into force. Changes whose bound is after ``end_s``
    are left out.
    """
    checked, late = 0, []
    for acked_s, revision in acknowledged:
        since_s, due_s = acked_s - CONTACT_S, acked_s + control_group.CONFIG_APPLY_S
        if any(hit.of_leader and hit.overlaps(since_s, due_s) for hit in hits):
            due_s += STRETCH_S
        if due_s > end_s:
            continue
        for host, in_force in used.items():
            if any(hit.host == host and hit.overlaps(since_s, due_s) for hit in hits):
                continue
            checked += 1
            at_s = min((at_s for at_s, number in in_force if number >= revision), default=None)
            if at_s is None or at_s > due_s:
                after = "never" if at_s is None else f"after {at_s - acked_s:.2f} s"
                late.append(f"{host}: revision {revision}, acked at {acked_s:.3f}, {after}")
    return checked, late


def _read_used(log):
    used = []
    for line in log.read_text(errors="replace").splitlines():
        if '"routes-in-force"' in line:
            found = json.loads(line)
            used.append((found["t"], found["revision"]))
    return used


class _Hitter:
    """Hits processes at random; times are of the wall clock, as in logs."""

    def __init__(self, group, control, seed):
        self._group = group
        self._control = control
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._open: dict[str, Hit] = {}
        self._ended: list[Hit] = []
        self._threads: list[threading.Thread] = []

    def play(self, length_s):
        """Begin hits for a time, and return all of them when the last one has ended."""
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            time.sleep(self._rng.expovariate(1.0 / MEAN_GAP_S))
            self._begin()
        for thread in self._threads:
            thread.join()
        return self._ended

    def _begin(self):
        group, rng = self._group, self._rng
        is_entry = rng.random() < ENTRY_PART
        hosts = group.entry_hosts if is_entry else group.control_hosts
        most = max(1, int(MOST_ENTRIES_HIT * len(hosts))) if is_entry else 1
        kind, host = rng.choice(list(KINDS)), rng.choice(hosts)
        for_s = rng.uniform(*KINDS[kind])
        with self._lock:
            if host in self._open or sum(name in hosts for name in self._open) >= most:
                return
        is_leader = not is_entry and host == self._control.find_leader(hosts)
        hit = Hit(host, time.time(), float("inf"), is_leader)
        with self._lock:
            self._open[host] = hit
        thread = threading.Thread(target=self._hit, args=(hit, kind, for_s), daemon=True)
        thread.start()
        self._threads.append(thread)

    def _hit(self, hit, kind, for_s):
        group, host = self._group, hit.host
        if kind == "pause":
            group.signal(host, signal.SIGSTOP)
            time.sleep(for_s)
            group.signal(host, signal.SIGCONT)
        else:
            group.signal(host, signal.SIGTERM if kind == "stop" else signal.SIGKILL)
            time.sleep(STOP_LIMIT_S if kind == "stop" else for_s)
            group.kill(host)
            group.start(host)
        with self._lock:
            del self._open[host]
            self._ended.append(dataclasses.replace(hit, end_s=time.time()))


def play(
    seed: int, length_s: float, entries: int, controls: int, folder: pathlib.Path
) -> tuple[int, list[str]]:
    """Play one seed; return the number of checks, and a line for each broken promise."""
    try:
        with bare_fleet.start(seed, folder, entries, controls) as (group, operator, book):
            time.sleep(CONTACT_S + control_group.CATCH_UP_S)
            began_s = time.time()
            control = control_group.ControlGroup(group, operator, book)
            operator.thread.start()
            hits = _Hitter(group, control, seed).play(length_s)
            operator.stop()
            operator.thread.join(15)
            time.sleep(control_group.CONFIG_APPLY_S)
            end_s, to_wall_s = time.time(), time.time() - time.monotonic()
            used = {host: _read_used(folder / f"{host}.log") for host in group.entry_hosts}
    except control_group.Broken as exc:
        return 0, [str(exc)]
    acknowledged = [(at_s + to_wall_s, number) for at_s, number in book.acknowledged]
    recent = [item for item in acknowledged if item[0] >= began_s]
    checked, late = find_late(recent, used, hits, end_s)
    return checked, late + book.broken()


def run(argv: list[str] | None = None) -> int:
    """Run the command; returns 1 when a promise was broken."""
    parser = argparse.ArgumentParser("late_changes", description=__doc__)
    seeds.add_arguments(parser)
    parser.add_argument("--seconds", type=float, default=20.0, help="length of the faults")
    parser.add_argument("--entries", type=int, default=12)
    parser.add_argument("--controls", type=int, default=5)
    args = parser.parse_args(argv)

    def play_one(seed, folder):
        checked, broken = play(seed, args.seconds, args.entries, args.controls, folder)
        print(f"seed {seed}: {checked} checks, {len(broken)} broken promises", flush=True)
        return broken

    return seeds.play_all(args, play_one)


if __name__ == "__main__":
    sys.exit(run())
