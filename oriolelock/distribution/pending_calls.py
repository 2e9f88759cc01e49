"""
oriolelock.distribution.pending_calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Matches replies to the calls that wait for them, by call id.
"""

import concurrent.futures
import threading
import uuid

from oriolelock.distribution import errors, messages

__all__ = ["PendingCalls"]


class PendingCalls:
    """The calls that wait for a reply; thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._futures: dict[str, concurrent.futures.Future] = {}

    def add(self) -> tuple[str, concurrent.futures.Future]:
        """Register a call; return its id and a future of the reply's payload."""
        call_id = uuid.uuid4().hex
        fut = concurrent.futures.Future()
        with self._lock:
            self._futures[call_id] = fut
        return call_id, fut

    def discard(self, call_id: str) -> None:
        """Remove a call; a later reply to it is ignored."""
        with self._lock:
            self._futures.pop(call_id, None)

    def resolve(self, reply: messages.UplinkReply) -> None:
        """Complete the call that ``reply`` answers, if it is still pending."""
        with self._lock:
            fut = self._futures.pop(reply.call_id, None)
        if fut is None:
            return
        if reply.error:
            fut.set_exception(errors.CallRefused(reply.error))
        else:
            fut.set_result(reply.payload)

    def fail_all(self, text: str) -> None:
        """Fail all pending calls with Disconnected."""
        with self._lock:
            pending, self._futures = self._futures, {}
        for fut in pending.values():
            fut.set_exception(errors.Disconnected(text))
