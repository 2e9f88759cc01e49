"""
oriolelock.bench.waiting
~~~~~~~~~~~~~~~~~~~~~~~~

    Waiting for a condition that nothing announces.
"""

import collections.abc
import threading
import typing

from oriolelock import clock
from oriolelock.bench import errors

__all__ = ["until"]

STEP_S = 0.05

T = typing.TypeVar("T")


def until(
    condition: collections.abc.Callable[[], T], timeout_s: float = 30.0, what: str = "condition"
) -> T:
    """Return the first true value of ``condition()``; a failed call counts as false.

    Raises NotReady after ``timeout_s``.
    """
    end_s = clock.monotonic_s() + timeout_s
    failure = ""
    while clock.monotonic_s() < end_s:
        try:
            value = condition()
        except errors.CallFailed as exc:
            value, failure = None, f" ({exc})"
        if value:
            return value
        threading.Event().wait(STEP_S)
    raise errors.NotReady(f"{what}: not within {timeout_s:g} s{failure}")
