"""
oriolelock.model.operation
~~~~~~~~~~~~~~~~~~~~~~~~~~

    One operation of a service and how it is to be treated.
"""

import dataclasses

from oriolelock.model import priority
from oriolelock.wire import codec

__all__ = ["Operation"]


@codec.register("operation")
@dataclasses.dataclass(frozen=True)
class Operation:
    """``idempotent`` work may be retried; other work needs an idempotency key."""

    name: str
    priority: priority.Priority
    idempotent: bool
    timeout_ms: float
