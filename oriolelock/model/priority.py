"""
oriolelock.model.priority
~~~~~~~~~~~~~~~~~~~~~~~~~

    The three priorities of work, most urgent first.
"""

import enum

__all__ = ["Priority"]


class Priority(enum.IntEnum):
    """A lower value is served first."""

    URGENT = 0
    NORMAL = 1
    DEFERRABLE = 2
