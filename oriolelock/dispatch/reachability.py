"""
oriolelock.dispatch.reachability
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Tells an entry that is cut off from the endpoints from endpoints that fail one by one.
"""

import collections.abc
import dataclasses

__all__ = ["ConnectFailure", "Reachability"]

# Endpoints to which no connection could be opened, without one that succeeded in between. A failure
# domain that is lost takes fewer with it before a connection to another one succeeds.
MIN_FAILED_ENDPOINTS = 3


@dataclasses.dataclass(frozen=True)
class ConnectFailure:
    """The latest failure to connect to an endpoint; ``refused``: by an answer, not by a timeout."""

    refused: bool
    at_s: float


class Reachability:
    """Failures to open connections since the last success, by service and in all.

    Not thread-safe; times are monotonic seconds.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, ConnectFailure]] = {}
        self._all: dict[str, ConnectFailure] = {}

    def record_failure(self, service: str, endpoint: str, refused: bool, now: float) -> None:
        """Record that no connection to an endpoint could be opened."""
        failure = ConnectFailure(refused, now)
        self._by_service.setdefault(service, {})[endpoint] = failure
        self._all[endpoint] = failure

    def record_success(self, service: str) -> None:
        """Record that a connection to an endpoint of a service was established."""
        self._by_service.pop(service, None)
        self._all.clear()

    def record_response(self, service: str) -> None:
        """Record a response of an endpoint of a service, over any connection.

        Timeouts of new connections are then due to load, as packets pass. Refusals remain: new
        connections may be refused while open ones go on.
        """
        own = self._by_service.get(service, {})
        for failed in (own, self._all):
            for name in [name for name, failure in failed.items() if not failure.refused]:
                del failed[name]

    def failures(self, service: str) -> collections.abc.Mapping[str, ConnectFailure]:
        """Return the failures, by endpoint, that show whether the service can be reached."""
        own = self._by_service.get(service, {})
        return own if len(own) >= MIN_FAILED_ENDPOINTS else self._all

    def is_cut_off(self, service: str) -> bool:
        """Return whether new connections to endpoints of a service are expected to fail."""
        return len(self.failures(service)) >= MIN_FAILED_ENDPOINTS

    def are_connections_lost(self, service: str) -> bool:
        """Return whether open connections are expected to be lost as well.

        A refusal shows that packets still pass, so that open connections may go on.
        """
        return not all(failure.refused for failure in self.failures(service).values())

    def retain(self, endpoints: collections.abc.Container[str]) -> None:
        """Forget endpoints that are not in ``endpoints``."""
        for failed in (self._all, *self._by_service.values()):
            for name in [name for name in failed if name not in endpoints]:
                del failed[name]
