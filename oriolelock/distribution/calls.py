"""
oriolelock.distribution.calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Calls that wait for their reply, by id.
"""

import concurrent.futures
import threading
import uuid

from oriolelock.distribution import errors, messages

__all__ = ["Calls"]


class Calls:
    """Thread-safe."""

    def __init__(self):
        self._lock = threading.Lock()
        self._waiting: dict[str, concurrent.futures.Future] = {}

    def begin(self) -> tuple[str, concurrent.futures.Future]:
        """Return the id of a new call and the future of its reply's payload."""
        call_id = uuid.uuid4().hex
        fut = concurrent.futures.Future()
        with self._lock:
            self._waiting[call_id] = fut
        return call_id, fut

    def end(self, call_id: str) -> None:
        """Forget a call; a later reply to it is dropped."""
        with self._lock:
            self._waiting.pop(call_id, None)

    def resolve(self, reply: messages.UplinkReply) -> None:
        """Hand a reply to the call that waits for it, if any."""
        with self._lock:
            fut = self._waiting.pop(reply.call_id, None)
        if fut is None:
            return
        if reply.error:
            fut.set_exception(errors.CallRefused(reply.error))
        else:
            fut.set_result(reply.payload)

    def fail_all(self, text: str) -> None:
        """End all waiting calls with Disconnected."""
        with self._lock:
            waiting, self._waiting = self._waiting, {}
        for fut in waiting.values():
            fut.set_exception(errors.Disconnected(text))
