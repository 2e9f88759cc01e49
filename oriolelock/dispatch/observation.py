"""
oriolelock.dispatch.observation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a response revealed about an endpoint, to be shared with other entries.
"""

import dataclasses

from oriolelock.dispatch import endpoint_view

__all__ = ["Observation"]


@dataclasses.dataclass(frozen=True)
class Observation:
    """``endpoint_digest``: of the endpoint's name and start time; ``object_digest``: of the object
    that it handled, 0 for none; ``load``: its load report, None for no report."""

    endpoint_digest: int
    object_digest: int
    load: endpoint_view.Load | None
