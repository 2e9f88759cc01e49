"""
oriolelock.model.drain
~~~~~~~~~~~~~~~~~~~~~~

    A planned drain of an endpoint, a failure domain, a region or an entry.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["SCOPES", "Drain"]

SCOPES = ("endpoint", "failure_domain", "region", "entry")


@codec.register("drain")
@dataclasses.dataclass(frozen=True)
class Drain:
    """``start_s`` and ``deadline_s`` are seconds since the Unix epoch.

    New work stops gradually between start and deadline; after the deadline none is sent.
    """

    drain_id: str
    scope: str
    target: str
    start_s: float
    deadline_s: float
    forced: bool = False
