"""
oriolelock.dispatch.observation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What responses revealed about endpoints, to be shared with other entries.
"""

import dataclasses

from oriolelock.dispatch import endpoint_view

__all__ = [
    "CutOffReport",
    "EndpointNotice",
    "EntryStatus",
    "LimitReport",
    "Observation",
    "SlownessReport",
    "UnreachableReport",
]


@dataclasses.dataclass(frozen=True)
class Observation:
    """``endpoint_digest``: of the endpoint's name and start time; ``object_digest``: of the object
    that it handled, 0 for none; ``load``: its load report, None for no report."""

    endpoint_digest: int
    object_digest: int
    load: endpoint_view.Load | None


@dataclasses.dataclass(frozen=True)
class LimitReport:
    """``endpoint_digest``: of the endpoint's name and start time; ``rate``: requests per second
    that it announced, ``endpoint_limits.UNLIMITED`` for the end of a limit; ``age_s``: seconds
    since the response that announced it."""

    endpoint_digest: int
    rate: float
    age_s: float


@dataclasses.dataclass(frozen=True)
class CutOffReport:
    """An entry reaches no endpoint; ``entry_digest``: of its name."""

    entry_digest: int


@dataclasses.dataclass(frozen=True)
class EntryStatus:
    """``is_initiated``: whether the sender knows of all endpoints that may have restarted;
    ``wants_reply``: whether it hears too few entries.
    """

    is_initiated: bool
    wants_reply: bool = False


@dataclasses.dataclass(frozen=True)
class EndpointNotice:
    """``endpoint_digest``: of the endpoint's name and start time."""

    endpoint_digest: int
    fact: endpoint_view.Fact


@dataclasses.dataclass(frozen=True)
class UnreachableReport:
    """No connection to an endpoint could be opened; ``domain_digest``: of the failure domain of
    the entry that tried."""

    endpoint_digest: int
    domain_digest: int


@dataclasses.dataclass(frozen=True)
class SlownessReport:
    """An endpoint takes ``ratio`` times as long as expected for an object that it has cached;
    ``domain_digest``: of the failure domain of the entry that waits."""

    endpoint_digest: int
    domain_digest: int
    ratio: float
