"""Compares the answers of callers with the runs that the stand-ins recorded."""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class Answer:
    """``outcome``: complete, not-run, unknown, or lost when the caller got no answer.

    ``ran_as``: digest, endpoint and request id in a complete answer. ``end_s``: Unix time.
    """

    entry: str
    operation: str
    digest: str
    key: str | None
    outcome: str
    reason: str
    status: int
    request_id: str
    ran_as: tuple[str, str, str] | None
    text: str
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class Counts:
    """``lost``: no answer. ``duplicated``: second runs of a key. ``cut``: ran, and its caller
    did not get the answer. ``wrongly_not_run``: refused as not run, and ran. ``foreign``: a
    complete answer that is not that of the caller's own request and of a recorded run."""

    lost: int = 0
    duplicated: int = 0
    cut: int = 0
    wrongly_not_run: int = 0
    foreign: int = 0


def count(answers, runs) -> Counts:
    """Return the broken promises. A recorded answer repeats the request id of the first run."""
    ids = {run["request_id"] for run in runs}
    known = {(run["digest"], run["endpoint"], run["request_id"]) for run in runs}
    keys = collections.Counter(run["key"] for run in runs if run["key"])
    broken = collections.Counter()
    for item in answers:
        ran = item.request_id in ids
        broken["lost"] += item.outcome == "lost"
        broken["cut"] += ran and item.outcome == "unknown"
        broken["wrongly_not_run"] += ran and item.outcome == "not-run"
        if item.outcome == "complete" and item.status == 200:
            is_own = item.ran_as in known and item.ran_as[0] == item.digest
            broken["foreign"] += not is_own
    broken["duplicated"] = sum(found - 1 for found in keys.values())
    return Counts(**broken)
