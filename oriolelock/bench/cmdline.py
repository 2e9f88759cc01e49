"""
oriolelock.bench.cmdline
~~~~~~~~~~~~~~~~~~~~~~~~

    Finds an experiment by its name and runs it.
"""

import argparse
import importlib
import json
import signal
import sys

__all__ = ["EXPERIMENTS", "main"]

EXIT_TERMINATED = 143

# name -> (module below oriolelock.bench.experiments, meaning)
EXPERIMENTS: dict[str, tuple[str, str]] = {
    "entry": ("entry", "one entry: lookups, requests, added latency, cost of the record"),
    "flood": ("flood", "floods of the lowest and highest priority, against baselines"),
    "drain": ("drain", "time to drain an endpoint and to stop an entry; requests cut"),
    "blocks": ("blocks", "table of client blocks: bytes, lookup time, time to apply a change"),
    "control": ("control", "changes: time to all subscribers, bytes, processor time, catch-up"),
    "configuration": ("configuration", "configuration by size: bytes, memory, processor time"),
    "relay": ("relay", "an entry that relays: bytes, processor time, age of reports by hops"),
    "record": ("record", "at-most-once record: memory, snapshot, time and rate of claims"),
    "lookup": ("lookup", "lookups per second of an entry; bytes of its load polls"),
    "tree": ("tree", "the relay tree of a failure domain: depth, children, loss of a head"),
    "restart": ("restart", "restarted entries: bytes, time to be ready, memory of the process"),
    "policy": (
        "policy",
        "routing decisions of a model fleet: benefit, warmth, shifts between regions",
    ),
}


def _parser():
    parser = argparse.ArgumentParser(prog="scripts/bench", description=__doc__)
    commands = parser.add_subparsers(dest="name", metavar="NAME", required=True)
    for name, (module, meaning) in EXPERIMENTS.items():
        command = commands.add_parser(name, help=meaning, description=meaning)
        command.add_argument("--json", help="also write the figures to this file")
        experiment = importlib.import_module(f"oriolelock.bench.experiments.{module}")
        experiment.add_arguments(command)
        command.set_defaults(run=experiment.run)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the experiment that ``argv`` names; returns the exit code."""
    args = _parser().parse_args(argv)
    # Without this SIGTERM would leave the processes of a fleet behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    figures = args.run(args)
    if args.json:
        with open(args.json, "w", encoding="utf-8") as out:
            json.dump(figures, out, indent=2, sort_keys=True)
    return 0
