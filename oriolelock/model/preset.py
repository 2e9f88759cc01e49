"""
oriolelock.model.preset
~~~~~~~~~~~~~~~~~~~~~~~

    A named set of policies; exactly one preset is in force at any time.
"""

import dataclasses

from oriolelock.model import service_policy
from oriolelock.wire import codec

__all__ = ["Preset"]


@codec.register("preset")
@dataclasses.dataclass(frozen=True)
class Preset:
    """Policies of all services, shares of the priorities and limits on shifts and links.

    ``shares``: priority name in lower case to guaranteed minimum share, together at most 1.
    ``shift_cap``: largest share of a region's traffic that moves per ``shift_interval_ms``;
    ``cold_shift_cap`` applies instead towards endpoints that report a cold start.
    ``link_mbits``: bandwidth each way between two regions; ``link_share``: usable fraction.
    """

    name: str
    services: tuple[service_policy.ServicePolicy, ...]
    shares: dict[str, float]
    shift_cap: float
    shift_interval_ms: float
    cold_shift_cap: float
    link_mbits: float
    link_share: float

    def find_service(self, name: str) -> service_policy.ServicePolicy | None:
        """Return the policy of the service called ``name``, or None."""
        return next((policy for policy in self.services if policy.name == name), None)
