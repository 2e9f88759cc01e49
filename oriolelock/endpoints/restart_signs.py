"""
oriolelock.endpoints.restart_signs
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Tells from the ends of connections that an endpoint has probably started again.

    A process that ends takes all its connections with it. One that closes single connections, or
    each of them after some time without requests or after one response, goes on running.
"""

import collections.abc

__all__ = ["RestartSigns"]

MIN_ENDS = 2
ENDED_TOGETHER_S = 1.0
# Endpoints may close a connection that is idle for longer.
MAX_IDLE_S = 1.0


class RestartSigns:
    """Ends of connections to one endpoint; not thread-safe. Times are monotonic seconds."""

    def __init__(self):
        self._ended_s: list[float] = []

    def record_end(self, opened_s: float, used_s: float, was_reused: bool, now: float) -> None:
        """Record that a connection, opened and last used at these times, is found ended.

        It counts if it was used shortly before, had served more than one request, and had been
        open at the same time as the others that ended.
        """
        self._ended_s = [at_s for at_s in self._ended_s if now - at_s <= ENDED_TOGETHER_S]
        is_together = not self._ended_s or opened_s < self._ended_s[0]
        if was_reused and is_together and now - used_s <= MAX_IDLE_S:
            self._ended_s.append(now)

    def has_restarted(self, open_since_s: collections.abc.Iterable[float], now: float) -> bool:
        """Return, once, whether all connections have ended together.

        ``open_since_s``: when the connections that are still open were opened.
        """
        recent = [at_s for at_s in self._ended_s if now - at_s <= ENDED_TOGETHER_S]
        if len(recent) < MIN_ENDS or any(opened_s < recent[0] for opened_s in open_since_s):
            return False
        self._ended_s = []
        return True
