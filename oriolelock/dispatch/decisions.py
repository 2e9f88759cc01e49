"""
oriolelock.dispatch.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Input and result of endpoint selection: where to send a request, or why to refuse it.
"""

import dataclasses
import functools

from oriolelock.dispatch import endpoint_view, ranking
from oriolelock.model import route

__all__ = ["Refuse", "RequestContext", "Send"]


@dataclasses.dataclass(frozen=True)
class RequestContext:
    """What endpoint selection needs to know of a request.

    ``key``: affinity key of the request's object, empty for none; ``left_s``: seconds until the
    deadline; ``objective_s``: seconds until the latency objective; ``tried``: names of endpoints
    that already received the request.
    """

    route: route.Route
    service: str
    key: str
    left_s: float
    objective_s: float
    tried: frozenset[str] = frozenset()

    @functools.cached_property
    def digest(self) -> int:
        """Digest of ``key``, the same on every entry; 0 without a key."""
        return ranking.digest(self.key) if self.key else 0


@dataclasses.dataclass(frozen=True)
class Send:
    """The selected endpoint.

    ``wait_s``: expected queueing delay; ``service_s``: expected service time; ``warm``: whether
    the endpoint probably has the object cached; ``cross_region``: whether the endpoint is in
    another region; ``cold``: whether it started recently; ``usual_s``: how long the request may
    take before the endpoint counts as slow; ``preferred``: whether all entries of its region prefer
    it for the object.
    """

    view: endpoint_view.EndpointView
    wait_s: float
    service_s: float
    warm: bool
    cross_region: bool
    cold: bool
    usual_s: float
    preferred: bool


@dataclasses.dataclass(frozen=True)
class Refuse:
    """A refusal; ``retry_after_s``: suggested delay before a retry; ``wait_s``: the shortest
    expected queueing delay; ``unreachable``: number of ejected endpoints that other entries may
    reach."""

    reason: str
    retry_after_s: float
    wait_s: float = 0.0
    unreachable: int = 0
