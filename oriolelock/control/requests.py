"""
oriolelock.control.requests
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Requests to one group that wait for their result.
"""

import concurrent.futures

from oriolelock.consensus import messages, outputs
from oriolelock.control import messages as control_messages
from oriolelock.control import unavailable

__all__ = ["Requests"]

LOST_TEXT = "leadership was lost before the result"
REPLACED_TEXT = "another leader's entry took its place"


class Requests:
    """Owned by the thread of the group, except for ``add`` and ``drop``."""

    def __init__(self) -> None:
        # Asked of the node, by request id.
        self._asked: dict[str, concurrent.futures.Future] = {}
        # In the log but not committed, with their term, by index.
        self._in_log: dict[int, tuple[int, concurrent.futures.Future]] = {}
        # Wait until an index is applied.
        self._waiting: list[tuple[int, concurrent.futures.Future, object]] = []

    def add(self, request_id: str) -> concurrent.futures.Future:
        """Return a future of the result."""
        fut = concurrent.futures.Future()
        self._asked[request_id] = fut
        return fut

    def drop(self, request_id: str) -> None:
        """Forget a request that never reached the node."""
        self._asked.pop(request_id, None)

    def proposed(self, output: outputs.Proposed) -> None:
        """Note at which index a command stands in the log."""
        fut = self._asked.pop(output.request_id, None)
        if fut is None:
            return
        self._settle(output.index, unavailable.Unavailable(REPLACED_TEXT, retry=True))
        self._in_log[output.index] = (output.term, fut)

    def rejected(self, output: outputs.Rejected) -> None:
        """The node did not take the request."""
        fut = self._asked.pop(output.request_id, None)
        if fut is not None:
            fut.set_result(unavailable.Unavailable(output.reason, retry=True))

    def read_ready(self, output: outputs.ReadReady) -> None:
        """The read is confirmed; its result waits until its index is applied."""
        fut = self._asked.pop(output.request_id, None)
        if fut is not None:
            self.wait(output.index, fut, control_messages.Confirmed(output.index))

    def wait(self, index: int, fut: concurrent.futures.Future, result: object) -> None:
        """Have ``fut`` end with ``result`` when ``index`` is applied."""
        self._waiting.append((index, fut, result))

    def applied(self, entry: messages.Entry, result: object) -> None:
        """An entry is committed and applied with ``result``."""
        term = self._in_log.get(entry.index, (0, None))[0]
        if term != entry.term:
            result = unavailable.Unavailable(REPLACED_TEXT, retry=True)
        self._settle(entry.index, result)

    def restored(self, index: int) -> None:
        """A snapshot replaced the entries up to ``index``; their results are not known."""
        for old in [old for old in self._in_log if old <= index]:
            self._settle(old, unavailable.Unavailable(LOST_TEXT))

    def _settle(self, index, result):
        _, fut = self._in_log.pop(index, (0, None))
        if fut is not None:
            fut.set_result(result)

    def finish_waiting(self, applied: int) -> None:
        """End what waited for ``applied`` or an earlier index."""
        ready = [item for item in self._waiting if item[0] <= applied]
        if ready:
            self._waiting = [item for item in self._waiting if item[0] > applied]
        for _, fut, result in ready:
            fut.set_result(result)
