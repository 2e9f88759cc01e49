"""Plays seeds one after the other, each in a folder of its own."""

import argparse
import collections.abc
import pathlib
import shutil
import tempfile

__all__ = ["add_arguments", "play_all"]

MOST_LINES = 30


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options that ``play_all`` reads."""
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds, one after the other")
    parser.add_argument("--keep", metavar="FOLDER", help="keep settings and logs of broken seeds")


def play_all(
    args: argparse.Namespace, play: collections.abc.Callable[[int, pathlib.Path], list[str]]
) -> int:
    """Print what each seed broke; returns 1 when one broke a promise.

    ``play(seed, folder)`` returns a line for each broken promise.
    """
    failed = False
    for seed in range(args.seed, args.seed + args.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            broken = play(seed, folder)
            for line in broken[:MOST_LINES]:
                print(f"seed {seed}: {line}", flush=True)
            if len(broken) > MOST_LINES:
                print(f"seed {seed}: and {len(broken) - MOST_LINES} more", flush=True)
            failed = failed or bool(broken)
            if broken and args.keep:
                (folder / "broken.txt").write_text("\n".join(broken) + "\n")
                shutil.copytree(folder, pathlib.Path(args.keep) / f"seed-{seed}")
        finally:
            shutil.rmtree(folder, ignore_errors=True)
    return int(failed)
