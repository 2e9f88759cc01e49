"""
oriolelock.cli.status
~~~~~~~~~~~~~~~~~~~~~

    ``status``: which version every instance has in force.
"""

import argparse

from oriolelock.cli import client, exit_codes, output

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock status
oriolelock --output json status"""
COLUMNS = ("name", "role", "region", "failure_domain", "state", "seen", "version", "index", "age_s")


def configure(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


def run(args: argparse.Namespace) -> int:
    """Print the versions, then one row for each instance."""
    data = client.make_client(args).read("/oriolelock/status")
    if args.output == "json":
        output.show_json(data)
        return exit_codes.DONE
    # Without confirmation there is only the last known one.
    print(f"preset in force: {data['in_force'] or data.get('last_known_in_force') or '-'}")
    print(f"version {data['version']}, index {data['index']}, leader {data['leader'] or '-'}")
    if not data["confirmed"]:
        print("NOT CONFIRMED by a leader: this may be old")
    output.show(args, data["instances"], COLUMNS)
    return exit_codes.DONE
