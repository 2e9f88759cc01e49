"""
oriolelock.stop_signals
~~~~~~~~~~~~~~~~~~~~~~~

    The signals that stop a daemon as planned.
"""

import collections.abc
import signal
import threading

__all__ = ["catch"]

# Handlers run in the main thread only, and a wait without a limit is not interrupted by a signal
# that the kernel delivers to another thread.
CHECK_INTERVAL_S = 0.5


def catch(
    signals: collections.abc.Iterable[int] = (signal.SIGTERM,),
) -> collections.abc.Callable[[], None]:
    """Catch ``signals`` and return a function that blocks the main thread until one arrives."""
    stopping = threading.Event()
    for signum in signals:
        signal.signal(signum, lambda *_: stopping.set())

    def wait():
        while not stopping.wait(CHECK_INTERVAL_S):
            pass

    return wait
