"""
oriolelock.dispatch.decisions
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What is asked about a request, and the answer: where to send it, or why to refuse it.
"""

import dataclasses
import functools

from oriolelock.dispatch import endpoint_view, ranking
from oriolelock.model import route

__all__ = ["Question", "Refuse", "Send"]


@dataclasses.dataclass(frozen=True)
class Question:
    """``key``: of the object that it concerns, empty for none; ``left_s``: until it must be
    answered; ``objective_s``: until it counts as late; ``tried``: endpoints that had it."""

    route: route.Route
    service: str
    key: str
    left_s: float
    objective_s: float
    tried: frozenset[str] = frozenset()

    @functools.cached_property
    def digest(self) -> int:
        """A number that stands for the object on every entry; 0 for none."""
        return ranking.digest(self.key) if self.key else 0


@dataclasses.dataclass(frozen=True)
class Send:
    """``wait_s``: expected in the endpoint's queue; ``service_s``: expected work; ``warm``:
    whether the object is expected at hand; ``away``: in another region."""

    view: endpoint_view.EndpointView
    wait_s: float
    service_s: float
    warm: bool
    away: bool
    cold: bool


@dataclasses.dataclass(frozen=True)
class Refuse:
    """``retry_after_s``: when it may go better; ``wait_s``: the shortest expected wait."""

    reason: str
    retry_after_s: float
    wait_s: float = 0.0
