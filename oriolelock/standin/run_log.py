"""
oriolelock.standin.run_log
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The record of every run of the endpoints of one process.
"""

import dataclasses
import json
import pathlib
import threading

from oriolelock import clock

__all__ = ["Run", "RunLog"]

UNFINISHED = "started"
LOST = "crashed"


@dataclasses.dataclass
class Run:
    """One run; times are seconds since the Unix epoch, ``end`` is None while it runs."""

    number: int
    endpoint: str
    request_id: str
    key: str
    service: str
    operation: str
    digest: str
    start: float
    end: float | None = None
    outcome: str = UNFINISHED


class RunLog:
    """Runs in memory and, if a path is given, as JSON lines in a file.

    A run is appended when it starts and again when it ends. The last line of a run counts,
    so a crash leaves the run in the file as started; after a restart it shows as crashed.
    """

    def __init__(self, path: str | None):
        self._lock = threading.Lock()
        self._runs: list[Run] = []
        self._file = None
        if path:
            self._runs = _read(pathlib.Path(path))
            pathlib.Path(path).parent.mkdir(parents=True, exist_ok=True)
            # Unbuffered, so that what was written outlives the process.
            self._file = open(path, "ab", buffering=0)  # noqa: SIM115

    def start(self, **fields: str) -> Run:
        """Record the start of a run and return it."""
        with self._lock:
            run = Run(number=len(self._runs), start=clock.wall_s(), **fields)
            self._runs.append(run)
            self._append(run)
            return run

    def end(self, run: Run, outcome: str) -> None:
        """Record the end of a run."""
        with self._lock:
            run.end = clock.wall_s()
            run.outcome = outcome
            self._append(run)

    def _append(self, run):
        if self._file:
            self._file.write(json.dumps(dataclasses.asdict(run)).encode() + b"\n")

    def list_runs(self, endpoint: str) -> list[dict]:
        """Return the runs of one endpoint, oldest first."""
        with self._lock:
            return [dataclasses.asdict(run) for run in self._runs if run.endpoint == endpoint]

    def close(self) -> None:
        """Close the file."""
        if self._file:
            self._file.close()


def _read(path: pathlib.Path) -> list[Run]:
    if not path.exists():
        return []
    runs: dict[int, Run] = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        try:
            run = Run(**json.loads(line))
        except (ValueError, TypeError):
            continue  # The line that a crash cut off.
        runs[run.number] = run
    for run in runs.values():
        if run.outcome == UNFINISHED:
            run.outcome = LOST
    return [runs[number] for number in sorted(runs)]
