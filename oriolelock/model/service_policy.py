"""
oriolelock.model.service_policy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    How a preset treats one service.
"""

import dataclasses

from oriolelock.model import operation
from oriolelock.wire import codec

__all__ = ["ServicePolicy"]


@codec.register("service")
@dataclasses.dataclass(frozen=True)
class ServicePolicy:
    """Limits are per entry.

    ``region_weights`` maps a region to the fraction (0 to 1) of the work that arrives in it
    and that it is to serve itself; the rest goes to the other regions in proportion to their
    weight and capacity. A region that is absent has weight 1.
    """

    name: str
    operations: tuple[operation.Operation, ...]
    region_weights: dict[str, float]
    queue_limit: int
    in_flight_limit: int

    def find_operation(self, name: str) -> operation.Operation | None:
        """Return the operation called ``name``, or None."""
        return next((op for op in self.operations if op.name == name), None)
