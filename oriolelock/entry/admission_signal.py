"""
oriolelock.entry.admission_signal
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Wakes the thread of a queued request when it is admitted or refused.
"""

import threading

__all__ = ["AdmissionSignal"]


class AdmissionSignal:
    """The decision on one queued request; may be reset for another wait.

    ``reason`` is empty if the request was admitted.
    """

    def __init__(self):
        self._ended = threading.Event()
        self.reason = ""

    def grant(self) -> None:
        """Admit the request."""
        self._ended.set()

    def refuse(self, reason: str) -> None:
        """Refuse the request."""
        self.reason = reason
        self._ended.set()

    def reset(self) -> None:
        """Prepare for another wait."""
        self._ended.clear()

    def wait(self, timeout_s: float) -> bool:
        """Wait for the decision; return whether it was made within ``timeout_s``."""
        return self._ended.wait(timeout_s)
