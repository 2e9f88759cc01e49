"""
oriolelock.control.shared_reads
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Answers many reads of the leader's state with one.

    When a leader or a parent is lost, all entries ask the replicas at once whether their
    configurations are current.
"""

import collections.abc
import concurrent.futures
import dataclasses
import threading

__all__ = ["INTERVAL_S", "SharedReads"]

# A read that comes so soon after another one waits for others until the next flush.
INTERVAL_S = 0.05

# Group and timeout.
_Kind = tuple[str, float]


@dataclasses.dataclass
class _Waiting:
    deadline_s: float
    futures: list[concurrent.futures.Future]


class SharedReads:
    """Thread-safe. ``read(group, timeout_s)`` starts one read and returns a future that completes.

    Each caller gets the result of a read that begins after its call. Reads of different timeouts
    aren't shared, so that none ends later than it may.
    """

    def __init__(self, read: collections.abc.Callable[[str, float], concurrent.futures.Future]):
        self._read = read
        self._lock = threading.Lock()
        self._next_s: dict[_Kind, float] = {}
        self._waiting: dict[_Kind, _Waiting] = {}

    def join(self, group: str, timeout_s: float, now: float) -> concurrent.futures.Future:
        """Return a future of the result of a read that begins now or with the next ``flush``."""
        kind = group, timeout_s
        with self._lock:
            # One that starts now would put off those that wait already.
            if kind in self._waiting or now < self._next_s.get(kind, now):
                fut = concurrent.futures.Future()
                waiting = self._waiting.setdefault(kind, _Waiting(now + timeout_s, []))
                waiting.futures.append(fut)
                return fut
            self._next_s[kind] = now + INTERVAL_S
        return self._read(group, timeout_s)

    def flush(self, now: float) -> None:
        """Begin the reads that wait, to be called each ``INTERVAL_S``."""
        with self._lock:
            due, self._waiting = self._waiting, {}
            for kind in due:
                self._next_s[kind] = now + INTERVAL_S
        for (group, _), waiting in due.items():
            result = self._read(group, max(0.0, waiting.deadline_s - now))
            result.add_done_callback(lambda done, futs=waiting.futures: _complete(futs, done))


def _complete(futures, done):
    for fut in futures:
        fut.set_result(done.result())
