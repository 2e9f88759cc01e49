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
    # Without confirmation there is only the last known one.
    in_force = cfg["in_force"] or cfg.get("last_known_in_force")
    rows = [
        {
            **item,
            "in_force": name == in_force,
            "services": ", ".join(service["name"] for service in item["services"]),
            "version": cfg["version"],
        }
        for name, item in sorted(cfg["presets"].items())
    ]
    output.show(args, rows, COLUMNS)
    return exit_codes.DONE
