"""
oriolelock.cli.change
~~~~~~~~~~~~~~~~~~~~~

    What all verbs that change the configuration share.
"""

import argparse
import sys
import uuid

from oriolelock.cli import client, errors, exit_codes, output

__all__ = ["add_arguments", "send"]


def add_arguments(parser: argparse.ArgumentParser, needs_version: bool = False) -> None:
    """Add the arguments that guard a change against races and repetition."""
    parser.add_argument(
        "--expect-version",
        type=int,
        metavar="N",
        required=needs_version,
        help="change only when this is the current version (see status)",
    )
    parser.add_argument(
        "--change-id",
        metavar="ID",
        help="id of the change; a change with an id that was applied before is not made again. "
        "Generated and printed if absent; give it again to repeat a change whose result "
        "you do not know",
    )


def send(args: argparse.Namespace, kind: str, **fields: object) -> int:
    """Send a change, print its result and return the exit code."""
    change_id = args.change_id
    if not change_id:
        change_id = str(uuid.uuid4())
        print(f"change id: {change_id}", file=sys.stderr)
    body = {"change_id": change_id, "expect_version": args.expect_version, "kind": kind, **fields}
    try:
        data = client.make_client(args).change(body)
    except errors.Unreachable as exc:
        # A replica may have stored the change before its answer was lost.
        text = f"{exc}; it may still be applied, repeat it with --change-id {change_id}"
        raise errors.Unreachable(text) from exc
    if args.output == "json":
        output.show_json({"change_id": change_id, **data})
    else:
        print(_describe(data))
    if data.get("result") == "applied":
        return exit_codes.DONE
    if data.get("result") in ("conflict", "refused"):
        return exit_codes.REFUSED
    raise errors.BadUsage(str(data.get("reason", data)))


def _describe(data):
    result = data.get("result")
    if result == "applied":
        return f"applied: version {data.get('version')}, index {data.get('index')}"
    if result == "conflict":
        return f"conflict: the current version is {data.get('version')}; nothing changed"
    return f"{result}: {data.get('reason')}; nothing changed"
