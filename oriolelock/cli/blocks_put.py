"""
oriolelock.cli.blocks_put
~~~~~~~~~~~~~~~~~~~~~~~~~

    ``blocks put FILE``: assigns client blocks to sites.
"""

import argparse

from oriolelock.cli import change
from oriolelock.model import from_json
from oriolelock.settings import blocks, loader

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock blocks put examples/swanport/blocks.yaml"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("file", metavar="FILE", help="blocks and sites as YAML")
    change.add_arguments(parser)


def run(args: argparse.Namespace) -> int:
    """Check the file, send the change."""
    found = from_json.to_json(loader.load(args.file, blocks.parse))
    return change.send(args, "put-blocks", **found)
