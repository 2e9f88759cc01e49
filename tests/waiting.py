"""Waiting for a condition that nothing announces."""

import time


def until(condition, timeout_s=15, what="condition"):
    end_s = time.monotonic() + timeout_s
    while not (value := condition()):
        assert time.monotonic() < end_s, f"{what} not met in time"
        time.sleep(0.005)
    return value
