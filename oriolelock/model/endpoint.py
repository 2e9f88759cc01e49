"""
oriolelock.model.endpoint
~~~~~~~~~~~~~~~~~~~~~~~~~

    An endpoint as the instance list describes it.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Endpoint"]


@codec.register("endpoint")
@dataclasses.dataclass(frozen=True)
class Endpoint:
    """``slots`` requests run at once; ``connections`` is the limit over all entries.

    ``cold``: it has started a short while ago and is still slow. ``started_ms``: Unix time of
    its start, 0 if unknown; a name may be used again.
    """

    name: str
    service: str
    address: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    state: str = "live"
    cold: bool = False
    started_ms: int = 0
