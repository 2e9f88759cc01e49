"""
oriolelock.routing.choice
~~~~~~~~~~~~~~~~~~~~~~~~~

    The endpoint chosen for one attempt.
"""

import dataclasses

from oriolelock.model import endpoint

__all__ = ["Choice"]


@dataclasses.dataclass(frozen=True)
class Choice:
    """An endpoint chosen for ``operation``.

    ``remote``: the endpoint is in another region; ``reserved``: bytes charged to the bandwidth
    budget; ``probe``: the attempt tests whether an ejected endpoint has recovered.
    """

    endpoint: endpoint.Endpoint
    operation: str
    remote: bool = False
    probe: bool = False
    reserved: int = 0
