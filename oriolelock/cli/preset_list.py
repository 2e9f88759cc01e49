"""
oriolelock.cli.preset_list
~~~~~~~~~~~~~~~~~~~~~~~~~~

    ``preset list``: the stored presets.
"""

import argparse

from oriolelock.cli import client, exit_codes, output

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock preset list
oriolelock --output json preset list"""
COLUMNS = ("name", "in_force", "services", "shift_cap", "link_share", "version")


def configure(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


def run(args: argparse.Namespace) -> int:
    """Print one row for each preset."""
    cfg = client.make_client(args).read("/oriolelock/configuration")["configuration"]
    rows = [
        {
            **item,
            "in_force": name == cfg["in_force"],
            "services": ", ".join(service["name"] for service in item["services"]),
            "version": cfg["version"],
        }
        for name, item in sorted(cfg["presets"].items())
    ]
    output.show(args, rows, COLUMNS)
    return exit_codes.DONE
