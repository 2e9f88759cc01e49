"""
oriolelock.http1.exchange
~~~~~~~~~~~~~~~~~~~~~~~~~

    One request of a caller and its response.
"""

import collections.abc
import typing

from oriolelock.http1 import messages

__all__ = ["Exchange"]


class Connection(typing.Protocol):
    """The caller's connection."""

    def answer(self, exchange: "Exchange", response: messages.Response) -> None:
        """Send the response to the request of ``exchange``."""


class Exchange:
    """One request and its response; ``on_gone`` is called if the caller disconnects first."""

    def __init__(self, conn: Connection, req: messages.Request):
        self._conn = conn
        self.request = req
        self.is_over = False
        self.on_gone: collections.abc.Callable[[], None] | None = None

    def reply(self, response: messages.Response) -> None:
        """Send the response; ignored if the caller disconnected or was already answered."""
        if not self.is_over:
            self.is_over = True
            self._conn.answer(self, response)

    def gone(self) -> None:
        """Record that the caller disconnected."""
        if not self.is_over:
            self.is_over = True
            if self.on_gone:
                self.on_gone()
