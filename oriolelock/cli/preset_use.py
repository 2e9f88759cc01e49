"""
oriolelock.cli.preset_use
~~~~~~~~~~~~~~~~~~~~~~~~~

    ``preset use NAME``: puts a stored preset in force.
"""

import argparse

from oriolelock.cli import change

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock status                              # shows the current version, say 7
oriolelock preset use peak --expect-version 7
oriolelock preset use peak --expect-version 7 --change-id ID   # after a lost answer"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("name", metavar="NAME", help="name of a stored preset")
    change.add_arguments(parser, needs_version=True)


def run(args: argparse.Namespace) -> int:
    """Send the change."""
    return change.send(args, "use-preset", name=args.name)
