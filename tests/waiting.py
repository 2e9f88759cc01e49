"""Waiting for a condition that nothing announces."""

import time


def until(condition, timeout_s=15):
    end_s = time.monotonic() + timeout_s
    while not (value := condition()):
        assert time.monotonic() < end_s, "condition not met in time"
        time.sleep(0.005)
    return value
