"""
oriolelock.entry.turn
~~~~~~~~~~~~~~~~~~~~~

    What the thread of a queued request waits for.
"""

import threading

__all__ = ["Turn"]


class Turn:
    """Ends as granted (no reason) or refused; may then be reset for another wait."""

    def __init__(self):
        self._ended = threading.Event()
        self.reason = ""

    def grant(self) -> None:
        """Let the request run."""
        self._ended.set()

    def refuse(self, reason: str) -> None:
        """Let the request end without running."""
        self.reason = reason
        self._ended.set()

    def reset(self) -> None:
        """Prepare for another wait."""
        self._ended.clear()

    def wait(self, timeout_s: float) -> bool:
        """Return whether it has ended within ``timeout_s``."""
        return self._ended.wait(timeout_s)
