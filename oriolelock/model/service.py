"""
oriolelock.model.service
~~~~~~~~~~~~~~~~~~~~~~~~

    How the endpoints of a service are to be treated.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Service"]


@codec.register("route-service")
@dataclasses.dataclass(frozen=True)
class Service:
    """``connections``: the limit of one endpoint over all entries.

    An endpoint is cold for ``cold_ms`` after its start and then tolerates ``cold_rate`` requests
    a second over all entries.
    """

    name: str
    health_path: str
    connections: int
    cold_ms: float
    cold_rate: float
    document: str = ""
