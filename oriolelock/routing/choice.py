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
    """``remote``: in another region; ``reserved``: bytes taken from the bandwidth budget.

    ``probe``: tests whether an ejected endpoint has recovered.
    """

    endpoint: endpoint.Endpoint
    operation: str
    remote: bool = False
    probe: bool = False
    reserved: int = 0
