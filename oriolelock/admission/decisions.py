"""
oriolelock.admission.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Results of offering an item to the scheduler. Reasons are those of the caller interface.
"""

import dataclasses

from oriolelock.admission import work_item

__all__ = ["Admitted", "Evicted", "Queued", "Refused"]


@dataclasses.dataclass(frozen=True)
class Admitted:
    """The item holds a worker slot; ``finish`` must follow."""


@dataclasses.dataclass(frozen=True)
class Queued:
    """The item is queued; ``expected_wait_s`` is an estimate."""

    expected_wait_s: float


@dataclasses.dataclass(frozen=True)
class Refused:
    """The item was rejected and has not run."""

    reason: str
    retry_after_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class Evicted:
    """An item removed from its queue without running: displaced, expired or without service."""

    item: work_item.WorkItem
    reason: str
