"""Measures how much the memory of this process grows."""

import contextlib
import resource
import threading

__all__ = ["growth"]

SAMPLE_INTERVAL_S = 0.002


def _resident_bytes():
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


@contextlib.contextmanager
def growth():
    """Yield a list that holds, after the block, the largest growth in bytes during it."""
    before, largest, stopping = _resident_bytes(), [0], threading.Event()

    def sample():
        while not stopping.wait(SAMPLE_INTERVAL_S):
            largest[0] = max(largest[0], _resident_bytes() - before)

    thread = threading.Thread(target=sample, daemon=True)
    thread.start()
    try:
        yield largest
    finally:
        stopping.set()
        thread.join()
