"""
oriolelock.control.numbered_change
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One change by an operator that doesn't say which state it refers to.
"""

import collections.abc
import concurrent.futures

from oriolelock import clock, events
from oriolelock.control import (
    change_numbers,
    commands,
    config_state,
    messages,
    replica,
    unavailable,
)
from oriolelock.model import changes

__all__ = ["NumberedChange"]

log = events.Events("operator")


class NumberedChange:
    """Reads the latest number on the subject from the leader, then proposes with the next one.

    A copy of the change may have waited anywhere while its caller went to another replica. It is
    dropped if the caller has left when the number is known; if it is delayed after that, the number
    has been used by then. ``run_soon(callback)`` runs a callback after the events that the process
    has received, among them the end of the caller's connection.
    """

    def __init__(
        self,
        rep: replica.Replica,
        subject: str,
        change: changes.Change,
        is_wanted: collections.abc.Callable[[], bool],
        run_soon: collections.abc.Callable[[collections.abc.Callable[[], None]], None],
        read_timeout_s: float,
        change_timeout_s: float,
    ):
        self._replica = rep
        self._subject = subject
        self._change = change
        self._is_wanted = is_wanted
        self._run_soon = run_soon
        self._read_timeout_s = read_timeout_s
        self._change_timeout_s = change_timeout_s
        self._deadline_s = clock.monotonic_s() + change_timeout_s
        self.fut: concurrent.futures.Future = concurrent.futures.Future()

    def start(self) -> None:
        """Begin; ``fut`` completes with ``Applied``, ``Refused`` or ``Unavailable``."""
        read = self._replica.call("config", messages.ConfirmRead(), self._read_timeout_s)
        read.add_done_callback(self._on_read)

    def _on_read(self, done):
        if isinstance(done.result(), messages.Confirmed):
            self._run_soon(self._propose)
        else:
            self.fut.set_result(done.result())

    def _propose(self):
        if not self._is_wanted():
            log.notable("change-dropped", subject=self._subject, reason="its caller has left")
            self.fut.set_result(unavailable.Unavailable("the caller has left", retry=True))
            return
        number = self._replica.last_number(self._subject) + 1
        change_id = change_numbers.change_id(self._subject, number)
        command = commands.OperatorChange(change_id, None, "", self._change)
        log.notable("numbered-change", subject=self._subject, number=number)
        fut = self._replica.call("config", command, self._change_timeout_s)
        fut.add_done_callback(self._on_result)

    def _on_result(self, done):
        result = done.result()
        if result != config_state.ID_REUSED:
            self.fut.set_result(result)
        elif clock.monotonic_s() < self._deadline_s:
            # Another change took the number first.
            self.start()
        else:
            self.fut.set_result(unavailable.Unavailable("other changes came first", retry=True))
