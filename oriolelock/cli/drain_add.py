"""
oriolelock.cli.drain_add
~~~~~~~~~~~~~~~~~~~~~~~~

    ``drain add ID``: plans a drain.
"""

import argparse

from oriolelock import clock
from oriolelock.cli import change, times
from oriolelock.model import drain

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock drain add rack-7 --scope failure_domain --target perth-a --deadline +10min
oriolelock drain add os-update --scope region --target Bunbury \\
    --start 2026-12-06T22:00 --deadline 2026-12-06T22:30"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("drain_id", metavar="ID", help="name of the drain, to cancel it by")
    parser.add_argument("--scope", required=True, choices=drain.SCOPES, help="what is drained")
    parser.add_argument("--target", required=True, metavar="T", help="its name")
    parser.add_argument("--start", default="now", metavar="TIME", help=f"{times.FORMS}")
    parser.add_argument(
        "--deadline",
        default="+5min",
        metavar="TIME",
        help="no work after this; + counts from the start (default: %(default)s)",
    )
    parser.add_argument(
        "--force", action="store_true", help="also when too little capacity would remain"
    )
    change.add_arguments(parser)


def run(args: argparse.Namespace) -> int:
    """Send the change."""
    start_s = times.parse(args.start, clock.wall_s(), "start")
    item = {
        "drain_id": args.drain_id,
        "scope": args.scope,
        "target": args.target,
        "start_s": start_s,
        "deadline_s": times.parse(args.deadline, start_s, "deadline"),
        "forced": args.force,
    }
    return change.send(args, "add-drain", drain=item)
