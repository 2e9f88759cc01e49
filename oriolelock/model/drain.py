"""
oriolelock.model.drain
~~~~~~~~~~~~~~~~~~~~~~

    A planned drain of an endpoint, a failure domain, a region or an entry.
"""

import dataclasses

from oriolelock.model import endpoint, member
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

    def covers_endpoint(self, item: endpoint.Endpoint) -> bool:
        """Return whether the drain applies to an endpoint, by itself or by where it runs."""
        names = {
            "endpoint": item.name,
            "failure_domain": item.failure_domain,
            "region": item.region,
        }
        return names.get(self.scope) == self.target

    def covers_entry(self, item: member.Member) -> bool:
        """Return whether the drain applies to an entry, by itself or by where it runs."""
        names = {
            "entry": item.name,
            "failure_domain": item.failure_domain,
            "region": item.region,
        }
        return names.get(self.scope) == self.target
