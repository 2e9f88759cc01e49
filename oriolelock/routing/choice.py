"""
oriolelock.routing.choice
~~~~~~~~~~~~~~~~~~~~~~~~~

    The endpoint chosen for one attempt.
"""

import dataclasses

from oriolelock.model import endpoint
from oriolelock.routing import load

__all__ = ["Choice"]


@dataclasses.dataclass(frozen=True)
class Choice:
    """An endpoint chosen for ``operation``.

    ``load`` and ``start`` are those that were known then; ``is_remote``: the endpoint is in
    another region; ``reserved_bytes``: charged to the bandwidth budget; ``is_probe``: the attempt
    tests whether an ejected endpoint has recovered.
    """

    endpoint: endpoint.Endpoint
    operation: str
    load: load.EndpointLoad
    start: int
    is_remote: bool = False
    is_probe: bool = False
    reserved_bytes: int = 0
