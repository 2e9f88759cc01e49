"""
oriolelock.control.proposals
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Changes that follow from the instance list and have no result yet.
"""

import collections.abc
import threading

from oriolelock import clock, events
from oriolelock.model import changes, results

__all__ = ["TIMEOUT_S", "Proposals"]

# A change is proposed again afterwards, if it still follows from the list.
TIMEOUT_S = 1.0

log = events.Events("instances")


class Proposals:
    """Proposes changes without waiting for their results; thread-safe.

    ``call(change, timeout_s)`` proposes a change and returns a future of its result.
    """

    def __init__(self, call: collections.abc.Callable):
        self._call = call
        self._lock = threading.Lock()
        # The latest change of each instance that has no result yet, and when it was proposed.
        self._pending: dict[str, tuple[changes.Change, float]] = {}

    def propose(self, proposed: collections.abc.Iterable[changes.Change], now: float) -> None:
        """Propose the changes, apart from those that have been proposed a moment ago."""
        for change in proposed:
            name = _instance_name(change)
            with self._lock:
                pending, since_s = self._pending.get(name, (None, now))
                if pending == change and now - since_s < TIMEOUT_S:
                    continue
                self._pending[name] = change, now
            self._call(change, TIMEOUT_S).add_done_callback(self._make_callback(change, name, now))

    def _make_callback(self, change, name, proposed_s):
        def finished(fut):
            with self._lock:
                if self._pending.get(name) == (change, proposed_s):
                    del self._pending[name]
            _log_result(change, name, fut.result(), clock.monotonic_s() - proposed_s)

        return finished


def _instance_name(change):
    match change:
        case changes.SetEndpoint():
            return change.endpoint.name
        case changes.SetMember():
            return change.member.name
        case _:
            return change.name


def _log_result(change, name, result, after_s):
    """Log what became of a change; entries name the same index."""
    instance = getattr(change, "endpoint", None) or getattr(change, "member", None)
    is_applied = isinstance(result, results.Applied)
    log.notable(
        "instance-listed",
        instance=name,
        state=instance.state if instance else "gone",
        index=result.index if is_applied else None,
        reason="" if is_applied else getattr(result, "reason", ""),
        after_s=after_s,
    )
