"""
oriolelock.dispatch.observation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What one answer told of an endpoint, for other entries.
"""

import dataclasses

from oriolelock.dispatch import endpoint_view

__all__ = ["Observation"]


@dataclasses.dataclass(frozen=True)
class Observation:
    """``endpoint``: digest of its name and start; ``object_digest``: of the object that it has
    handled, 0 for none; ``load``: as it reported, None for no report."""

    endpoint: int
    object_digest: int
    load: endpoint_view.Load | None
