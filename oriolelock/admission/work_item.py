"""
oriolelock.admission.work_item
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A request in the scheduler.
"""

import dataclasses

from oriolelock.model import priority

__all__ = ["WorkItem"]


@dataclasses.dataclass(frozen=True, eq=False)
class WorkItem:
    """A request to be scheduled.

    ``item_id`` is unique in the entry; ``deadline_s`` uses the same clock as ``now``. ``payload``
    is opaque to the scheduler, for example the event that the request thread waits on.
    """

    item_id: str
    service: str
    priority: priority.Priority
    deadline_s: float
    payload: object = None
