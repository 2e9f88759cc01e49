"""
oriolelock.cli.drain_cancel
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    ``drain cancel ID``: removes a drain.
"""

import argparse

from oriolelock.cli import change

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock drain cancel rack-7"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("drain_id", metavar="ID", help="name of the drain")
    change.add_arguments(parser)


def run(args: argparse.Namespace) -> int:
    """Send the change."""
    return change.send(args, "cancel-drain", drain_id=args.drain_id)
