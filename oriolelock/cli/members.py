"""
oriolelock.cli.members
~~~~~~~~~~~~~~~~~~~~~~

    ``members``: the instances of the system.
"""

import argparse

from oriolelock.cli import client, exit_codes, output

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock members"""
COLUMNS = ("name", "role", "state", "region", "failure_domain", "address", "link_address")


def configure(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


def run(args: argparse.Namespace) -> int:
    """Print one row for each member."""
    cfg = client.make_client(args).read("/oriolelock/configuration")["configuration"]
    output.show(args, [item for _, item in sorted(cfg["members"].items())], COLUMNS)
    return exit_codes.DONE
