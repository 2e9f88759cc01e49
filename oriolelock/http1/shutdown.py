"""
oriolelock.http1.shutdown
~~~~~~~~~~~~~~~~~~~~~~~~~

    Ends an event loop once the requests in progress are answered.
"""

import collections.abc

from oriolelock import clock
from oriolelock.http1 import loop as loops

__all__ = ["stop_when_idle"]

POLL_INTERVAL_S = 0.05


def stop_when_idle(
    loop: loops.Loop, is_idle: collections.abc.Callable[[], bool], deadline_s: float
) -> None:
    """Stop ``loop`` when ``is_idle()`` holds, or at ``deadline_s`` of the monotonic clock.

    Must be called in the loop's thread.
    """
    is_over = is_idle() or clock.monotonic_s() >= deadline_s
    then = loop.stop if is_over else lambda: stop_when_idle(loop, is_idle, deadline_s)
    loop.call_later(POLL_INTERVAL_S, then)
