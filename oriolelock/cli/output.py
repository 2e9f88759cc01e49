"""
oriolelock.cli.output
~~~~~~~~~~~~~~~~~~~~~

    Results as a table or as JSON.
"""

import argparse
import collections.abc
import json

__all__ = ["show", "show_json"]


def show_json(value: object) -> None:
    """Print ``value`` as JSON."""
    print(json.dumps(value, indent=2, sort_keys=True))


def _cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}" if abs(value) < 1e6 else f"{value:.1f}"
    return str(value)


def show(
    args: argparse.Namespace, rows: collections.abc.Sequence[dict], columns: tuple[str, ...]
) -> None:
    """Print rows as ``--output`` asks; a table has these columns, JSON all fields."""
    if args.output == "json":
        show_json(list(rows))
        return
    lines = [[name.replace("_", " ") for name in columns]]
    lines += [[_cell(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[n]) for line in lines) for n in range(len(columns))]
    for line in lines:
        cells = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print("  ".join(cells).rstrip())
