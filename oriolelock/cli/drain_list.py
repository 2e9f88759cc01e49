"""
oriolelock.cli.drain_list
~~~~~~~~~~~~~~~~~~~~~~~~~

    ``drain list``: the planned drains.
"""

import argparse
import datetime

from oriolelock.cli import client, exit_codes, output

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock drain list"""
COLUMNS = ("drain_id", "scope", "target", "start", "deadline", "forced")


def configure(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


def _iso(seconds):
    return datetime.datetime.fromtimestamp(seconds, datetime.UTC).isoformat(timespec="seconds")


def run(args: argparse.Namespace) -> int:
    """Print one row for each drain, the earliest first."""
    cfg = client.make_client(args).read("/oriolelock/configuration")["configuration"]
    rows = [
        {**item, "start": _iso(item["start_s"]), "deadline": _iso(item["deadline_s"])}
        for item in sorted(cfg["drains"].values(), key=lambda item: item["start_s"])
    ]
    output.show(args, rows, COLUMNS)
    return exit_codes.DONE
