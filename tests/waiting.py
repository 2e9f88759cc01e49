"""Waiting for conditions, shared by tests."""

import time


def until(condition, timeout_s=10.0, what="condition"):
    """Return the first true value of ``condition()``; fails after ``timeout_s``."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        value = condition()
        if value:
            return value
        time.sleep(0.01)
    raise AssertionError(f"{what} did not hold within {timeout_s} s")
