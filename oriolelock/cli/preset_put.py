"""
oriolelock.cli.preset_put
~~~~~~~~~~~~~~~~~~~~~~~~~

    ``preset put FILE``: stores a preset.
"""

import argparse

from oriolelock.cli import change
from oriolelock.model import from_json
from oriolelock.settings import loader, preset

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock preset put examples/swanport/presets/peak.yaml"""


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("file", metavar="FILE", help="preset as YAML")
    change.add_arguments(parser)


def run(args: argparse.Namespace) -> int:
    """Check the file, store the preset."""
    found = loader.load(args.file, preset.parse)
    return change.send(args, "put-preset", preset=from_json.to_json(found))
