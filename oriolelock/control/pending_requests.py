"""
oriolelock.control.pending_requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Pending requests to a group and the futures of their results.
"""

import concurrent.futures

from oriolelock.consensus import messages, outputs
from oriolelock.control import messages as control_messages
from oriolelock.control import unavailable

__all__ = ["PendingRequests"]

LOST_TEXT = "leadership was lost before the result"
REPLACED_TEXT = "another leader's entry took its place"


class PendingRequests:
    """Used only by the thread of the group, except ``add`` and ``drop``, which are thread-safe."""

    def __init__(self) -> None:
        # Passed to the consensus node, without an answer so far, by request id.
        self._unanswered: dict[str, concurrent.futures.Future] = {}
        # In the log but not committed: (term, future) by log index.
        self._uncommitted: dict[int, tuple[int, concurrent.futures.Future]] = {}
        # (index, future, result): waiting until the index is applied.
        self._waiters: list[tuple[int, concurrent.futures.Future, object]] = []

    def add(self, request_id: str) -> concurrent.futures.Future:
        """Register a request and return a future of its result."""
        fut = concurrent.futures.Future()
        self._unanswered[request_id] = fut
        return fut

    def drop(self, request_id: str) -> None:
        """Remove a request that was not queued for the node."""
        self._unanswered.pop(request_id, None)

    def proposed(self, output: outputs.Proposed) -> None:
        """Record the log index and term of a command."""
        fut = self._unanswered.pop(output.request_id, None)
        if fut is None:
            return
        self._complete(output.index, unavailable.Unavailable(REPLACED_TEXT, retry=True))
        self._uncommitted[output.index] = (output.term, fut)

    def rejected(self, output: outputs.Rejected) -> None:
        """Fail a request that the node rejected."""
        fut = self._unanswered.pop(output.request_id, None)
        if fut is not None:
            fut.set_result(unavailable.Unavailable(output.reason, retry=True))

    def read_ready(self, output: outputs.ReadReady) -> None:
        """Complete a confirmed read as soon as its index is applied."""
        fut = self._unanswered.pop(output.request_id, None)
        if fut is not None:
            self.wait(output.index, fut, control_messages.Confirmed(output.index))

    def wait(self, index: int, fut: concurrent.futures.Future, result: object) -> None:
        """Complete ``fut`` with ``result`` when ``index`` is applied."""
        self._waiters.append((index, fut, result))

    def applied(self, entry: messages.Entry, result: object) -> None:
        """Complete the request of a log entry that was applied with ``result``."""
        term = self._uncommitted.get(entry.index, (0, None))[0]
        if term != entry.term:
            result = unavailable.Unavailable(REPLACED_TEXT, retry=True)
        self._complete(entry.index, result)

    def restored(self, index: int) -> None:
        """Fail the requests up to ``index``: a snapshot replaced their entries and results."""
        for covered in [logged for logged in self._uncommitted if logged <= index]:
            self._complete(covered, unavailable.Unavailable(LOST_TEXT))

    def _complete(self, index, result):
        _, fut = self._uncommitted.pop(index, (0, None))
        if fut is not None:
            fut.set_result(result)

    def finish_waiting(self, applied: int) -> None:
        """Complete the futures that wait for ``applied`` or an earlier index."""
        ready = [waiter for waiter in self._waiters if waiter[0] <= applied]
        if ready:
            self._waiters = [waiter for waiter in self._waiters if waiter[0] > applied]
        for _, fut, result in ready:
            fut.set_result(result)
