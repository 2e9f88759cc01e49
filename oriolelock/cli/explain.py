"""
oriolelock.cli.explain
~~~~~~~~~~~~~~~~~~~~~~

    ``explain ID LOG...``: what happened to one request, across the logs of several processes.
"""

import argparse
import collections.abc
import json

from oriolelock.cli import errors, exit_codes, output

__all__ = ["EXAMPLES", "configure", "run", "timeline"]

EXAMPLES = """\
oriolelock explain 9c41d07be2a35f68 front-*.log core-*.log
oriolelock --output json explain 9c41d07be2a35f68 all.log"""
COLUMNS = ("t", "log", "part", "event", "detail")
# Changes of belief older than this before the request say little about it.
BELIEF_AGE_S = 30.0
BELIEFS = frozenset(
    (
        "control-call-failed",
        "drains",
        "endpoint-back",
        "endpoint-died",
        "endpoint-out",
        "endpoint-replaced",
        "routes-in-force",
        "stopping",
        "started",
    )
)
SHOWN = ("t", "log", "part", "event", "level")


def configure(parser: argparse.ArgumentParser) -> None:
    """Add the arguments."""
    parser.add_argument("request_id", metavar="ID", help="the request's id")
    parser.add_argument("logs", metavar="LOG", nargs="+", help="files of JSON lines")


def _read(name):
    """Yield the lines of a log that are events; others, of other programs, are skipped."""
    try:
        with open(name, encoding="utf-8", errors="replace") as file:
            for line in file:
                start = line.find("{")
                if start < 0:
                    continue
                try:
                    item = json.loads(line[start:])
                except ValueError:
                    continue
                if isinstance(item, dict) and isinstance(item.get("t"), (int, float)):
                    # What stands before the object names the process, where logs are joined.
                    source = line[:start].split()
                    yield {**item, "log": source[-1] if source else name}
    except OSError as exc:
        raise errors.BadUsage(f"{name}: {exc.strerror}") from exc


def _concerns(belief, endpoints, logs):
    if belief.get("endpoint"):
        return belief["endpoint"] in endpoints
    return belief["log"] in logs


def timeline(request_id: str, names: collections.abc.Iterable[str]) -> list[dict[str, object]]:
    """Return the events of a request, with the latest beliefs about what it met before them."""
    events = sorted((item for name in names for item in _read(name)), key=lambda item: item["t"])
    own = [item for item in events if item.get("id") == request_id]
    if not own:
        return []
    endpoints = {item["endpoint"] for item in own if item.get("endpoint")}
    logs = {item["log"] for item in own}
    latest: dict[tuple, dict] = {}
    for item in events:
        is_before = own[-1]["t"] - BELIEF_AGE_S <= item["t"] <= own[-1]["t"]
        if is_before and item.get("event") in BELIEFS and _concerns(item, endpoints, logs):
            latest[(item["log"], item["event"], item.get("endpoint"))] = item
    return sorted([*latest.values(), *own], key=lambda item: item["t"])


def run(args: argparse.Namespace) -> int:
    """Print the timeline."""
    found = timeline(args.request_id, args.logs)
    if not found:
        raise errors.BadUsage(f"no line has the id {args.request_id}")
    rows = [
        {
            **item,
            "t": f"{item['t']:.3f}",
            "detail": " ".join(f"{k}={v}" for k, v in item.items() if k not in SHOWN),
        }
        for item in found
    ]
    output.show(args, rows, COLUMNS)
    return exit_codes.DONE
