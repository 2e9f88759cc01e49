"""
oriolelock.bench.run_check
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Compares what callers were told with what the stand-ins recorded.
"""

import collections
import dataclasses

from oriolelock.bench import caller

__all__ = ["Sent", "find_faults"]


@dataclasses.dataclass(frozen=True)
class Sent:
    """One request of a caller. ``digest`` is that of its body, which no other request has."""

    service: str
    operation: str
    digest: str
    key: str | None
    result: caller.Result


def find_faults(sent: list[Sent], runs: list[dict]) -> list[str]:
    """Return a sentence for each broken promise, none when all is well.

    Checked: a request with a key runs at most once; a request that was refused as not run did
    not run; a complete answer is that of the caller's own request and of a recorded run.
    """
    by_digest = collections.defaultdict(list)
    for run in runs:
        by_digest[run["digest"]].append(run)
    faults = []
    for digest, items in _group(sent).items():
        found = by_digest[digest]
        outcomes = {item.result.outcome for item in items}
        name = f"{items[0].service}/{items[0].operation} {digest}"
        if items[0].key and len(found) > 1:
            faults.append(f"{name} ran {len(found)} times: {[run['endpoint'] for run in found]}")
        if outcomes == {"not-run"} and found:
            faults.append(f"{name} was refused as not run, but ran")
        for item in items:
            if item.result.outcome != "complete":
                continue
            ids = {(run["endpoint"], run["request_id"]) for run in found}
            if not item.result.is_own or item.result.run_by not in ids:
                faults.append(f"{name} got an answer that is not its own")
    return faults


def _group(sent):
    groups = collections.defaultdict(list)
    for item in sent:
        groups[item.digest].append(item)
    return groups
