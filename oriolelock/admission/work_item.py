"""
oriolelock.admission.work_item
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One request as the scheduler sees it.
"""

import dataclasses

from oriolelock.model import priority

__all__ = ["WorkItem"]


@dataclasses.dataclass(frozen=True, eq=False)
class WorkItem:
    """``item_id`` is unique in the entry; ``deadline_s`` is on the clock of ``now``.

    ``payload`` belongs to the caller, for example the event that its thread waits on.
    """

    item_id: str
    service: str
    priority: priority.Priority
    deadline_s: float
    payload: object = None
