"""
oriolelock.bench.demo
~~~~~~~~~~~~~~~~~~~~~

    The demonstration: a whole deployment on this machine, from start to graceful stop.
"""

import argparse
import collections
import concurrent.futures
import dataclasses
import itertools
import pathlib
import shutil
import signal
import subprocess
import sys
import threading

from oriolelock import clock
from oriolelock.bench import caller, errors, fleet, fleet_options, process, run_check, waiting
from oriolelock.model import preset as presets
from oriolelock.model import priority
from oriolelock.settings import deployment, loader, preset
from oriolelock.standin import answers

__all__ = ["main"]

ROOT = process.ROOT
FOLDER = ROOT / "var" / "demo"
ENTRIES = 3
# With one entry in each region a lookup names the own region's and one more.
LISTED = 2
EXIT_TERMINATED = 143
REQUESTS_PER_OPERATION = 60
CALLER_THREADS = 12
FOLLOW_LIMIT_S = 5.0
REPEATS_MAX = 40
REPEAT_PAUSE_S = 0.05
# Below this share of answers the run shows nothing, even if no promise was broken.
MIN_ANSWERED = 0.9


@dataclasses.dataclass(frozen=True)
class _Work:
    """One request, and its repetition when it has a key."""

    priority: priority.Priority
    first: run_check.Sent
    repeat: run_check.Sent | None


def _make_parser():
    parser = argparse.ArgumentParser(
        prog="scripts/demo", description="Runs a whole deployment on this machine and checks it."
    )
    parser.add_argument("--deployment", choices=("swanport", "bula"), default="swanport")
    parser.add_argument(
        "--keep", action="store_true", help="leave it running until interrupted (Ctrl-C)"
    )
    return parser


def _operate(item: fleet.Fleet, *argv: str) -> None:
    """Run the operators' command line; raises BenchError when it fails."""
    shown = "oriolelock " + " ".join(argv)
    done = subprocess.run(
        [sys.executable, "-m", "oriolelock", *item.control_arguments(), *argv],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    print(f"  $ {shown}\n    {done.stdout.strip()}")
    if done.returncode:
        raise errors.BenchError(f"{shown}: exit {done.returncode}: {done.stderr.strip()}")


def _use(item: fleet.Fleet, name: str) -> None:
    """Put a preset in force and show how long every entry takes to follow."""
    version = item.status()["version"]
    _operate(item, "preset", "use", name, "--expect-version", str(version))
    start_s = clock.monotonic_s()
    item.wait_version(version + 1, FOLLOW_LIMIT_S)
    passed_s = clock.monotonic_s() - start_s
    status = item.status()
    assert status["in_force"] == name, status["in_force"]
    print(f"  {name} is in force; every entry reports version {version + 1} after {passed_s:.2f} s")


def _wait_for_list(item: fleet.Fleet, seeds: list[str]) -> None:
    """Wait until every entry answers lookups of all services; raises NotReady."""
    services = sorted({e.service for e in item.settings.plan.endpoints})

    def condition():
        for seed, service in itertools.product(seeds, services):
            if len(caller.Caller([seed]).lookup(service)) < LISTED:
                return False
        return True

    waiting.until(condition, 15.0, "all entries in lookups")


def _repeat(who: caller.Caller, task: tuple, body: bytes, key: str) -> caller.Result:
    """Send work again with the same key, as a caller does that lost the answer.

    While the first answer is being recorded the system says ``in-progress``; then ask again.
    """
    service, op, _ = task
    for _ in range(REPEATS_MAX):
        result = who.send(service, op.name, body, int(op.timeout_ms), key, skip=1)
        if result.reason != "in-progress":
            break
        threading.Event().wait(REPEAT_PAUSE_S)
    return result


def _send_all(seeds, chosen: presets.Preset) -> list[_Work]:
    """Send requests of every operation, those with a key twice."""
    tasks = []
    for policy in chosen.services:
        for op in policy.operations:
            tasks += [(policy.name, op, n) for n in range(REQUESTS_PER_OPERATION)]
    callers = [caller.Caller(seeds[n:] + seeds[:n]) for n in range(len(seeds))]

    def send(task):
        service, op, number = task
        body = f"{service}/{op.name}/{number}/{chosen.name}".encode()
        digest = answers.digest_of(body)
        key = None if op.idempotent else caller.new_key()
        first = callers[number % len(callers)]
        result = first.send(service, op.name, body, int(op.timeout_ms), key)
        sent = run_check.Sent(service, op.name, digest, key, result)
        if not key:
            return _Work(op.priority, sent, None)
        result = _repeat(callers[(number + 1) % len(callers)], task, body, key)
        return _Work(op.priority, sent, run_check.Sent(service, op.name, digest, key, result))

    # Interleaves the operations, so that all priorities are there at the same time.
    tasks.sort(key=lambda task: task[2])
    with concurrent.futures.ThreadPoolExecutor(CALLER_THREADS) as pool:
        return list(pool.map(send, tasks))


def _report(done: list[_Work]) -> None:
    """Print outcomes and latencies by priority."""
    print("  priority    sent  complete  not run  unknown   p50 ms   p99 ms")
    for kind in priority.Priority:
        results = [work.first.result for work in done if work.priority == kind]
        counts = collections.Counter(r.outcome for r in results)
        taken = sorted(r.latency_ms for r in results if r.outcome == "complete") or [0.0]
        p50, p99 = (taken[int(len(taken) * q)] for q in (0.5, 0.99))
        others = len(results) - counts["complete"] - counts["not-run"]
        print(
            f"  {kind.name.lower():<10}{len(results):>6}{counts['complete']:>10}"
            f"{counts['not-run']:>9}{others:>9}{p50:>9.1f}{p99:>9.1f}"
        )
    repeats = [work.repeat for work in done if work.repeat]
    same = sum(
        work.repeat.result.run_by == work.first.result.run_by is not None
        for work in done
        if work.repeat
    )
    print(f"  {len(repeats)} sent again with the same key; {same} got the first run's answer")
    reasons = collections.Counter(
        f"{sent.service}/{sent.operation} {sent.result.outcome}: {sent.result.reason}"
        for sent in _all_sent(done)
        if sent.result.outcome != "complete"
    )
    for text, count in reasons.most_common():
        print(f"  {count} x {text}")


def _all_sent(done):
    return [sent for work in done for sent in (work.first, work.repeat) if sent]


def _check(item: fleet.Fleet, done: list[_Work]) -> list[str]:
    """Compare with the stand-ins' records; returns the faults found."""
    runs, sent = item.runs(), _all_sent(done)
    faults = run_check.find_faults(sent, runs)
    answered = sum(one.result.outcome == "complete" for one in sent)
    if answered < len(sent) * MIN_ANSWERED:
        faults.append(f"only {answered} of {len(sent)} requests were answered")
    keys = {one.key for one in sent if one.key}
    print(f"  {len(runs)} runs recorded for {len(done)} requests, {len(keys)} of them with a key")
    return faults


def _show(item: fleet.Fleet, folder: pathlib.Path) -> list[str]:
    seeds = [process.address for process in item.entries.values()]
    names = ("ordinary", "peak")
    print("Presets")
    chosen = []
    for name in names:
        path = folder / "presets" / f"{name}.yaml"
        chosen.append(loader.load(str(path), preset.parse))
        _operate(item, "preset", "put", str(path.relative_to(ROOT)))
    _operate(item, "blocks", "put", str((folder / "blocks.yaml").relative_to(ROOT)))
    _use(item, names[0])
    _wait_for_list(item, seeds)
    print("Requests under 'ordinary'")
    done = _send_all(seeds, chosen[0])
    _report(done)
    print("Switch of the preset")
    _use(item, names[1])
    print("Requests under 'peak'")
    later = _send_all(seeds, chosen[1])
    _report(later)
    print("Check against the stand-ins' records")
    return _check(item, done + later)


def _wait_for_interrupt() -> None:
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    print(f"Running; see {FOLDER / 'processes.json'}. Ctrl-C stops it.", flush=True)
    stop.wait()


def _run(args):
    folder = ROOT / "examples" / args.deployment
    plan = loader.load_or_exit(str(folder / "deployment.yaml"), deployment.parse)
    shutil.rmtree(FOLDER, ignore_errors=True)
    item = fleet.Fleet(FOLDER, plan, fleet_options.FleetOptions(entries=ENTRIES))
    faults = ["not finished"]
    try:
        start_s = clock.monotonic_s()
        item.start()
        count = len(item.processes())
        print(
            f"{plan.cluster}: {count} processes ready after {clock.monotonic_s() - start_s:.1f} s"
        )
        faults = _show(item, folder)
        for text in faults:
            print(f"  FAULT: {text}")
        if args.keep:
            _wait_for_interrupt()
    finally:
        codes = item.stop()
        bad = {name: code for name, code in codes.items() if code}
        print(f"Stopped {len(codes)} processes; " + (f"exit codes {bad}" if bad else "all exit 0"))
    if faults or bad:
        return 1
    print("Nothing ran twice, every answer belongs to its request.")
    return 0


def main(argv: list[str] | None = None) -> int:
    """Run the demonstration; returns 0 when everything held."""
    args = _make_parser().parse_args(argv)
    # Without this SIGTERM would leave the processes of the fleet behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    try:
        return _run(args)
    except errors.BenchError as exc:
        print(f"demo: {exc}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
