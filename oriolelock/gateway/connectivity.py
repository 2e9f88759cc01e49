"""
oriolelock.gateway.connectivity
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Whether this entry reaches the endpoints; logs changes, and tells other entries while it reaches
    none.
"""

import collections.abc

from oriolelock import events
from oriolelock.dispatch import (
    chooser,
    endpoint_view,
    observation,
    ranking,
    reachability,
)
from oriolelock.gateway import gossip
from oriolelock.http1 import loop as loops

__all__ = ["Connectivity"]

# Shorter faults are over before others could act on them, and are not reported.
REPORT_INTERVAL_S = 0.5

log = events.Events("gateway")


class Connectivity:
    """Not thread-safe: used in the loop's thread. ``name``: of this entry."""

    def __init__(
        self,
        name: str,
        loop: loops.Loop,
        endpoint_chooser: chooser.Chooser,
        entry_gossip: gossip.Gossip,
    ):
        self._chooser = endpoint_chooser
        self._gossip = entry_gossip
        self._report = observation.CutOffReport(ranking.digest(name))
        self._reachability = reachability.Reachability()
        self._services: collections.abc.Collection[str] = ()
        # As of the last report interval.
        self._was_cut_off = False
        loop.call_each(REPORT_INTERVAL_S, self._report_if_cut_off)

    def configure(self, services: collections.abc.Collection[str]) -> None:
        """Apply the names of all services, and forget endpoints that were removed."""
        self._services = services
        self._reachability.retain(self._chooser.views)

    def is_cut_off(self, service: str) -> bool:
        """Return whether new connections to endpoints of a service are expected to fail."""
        return self._reachability.is_cut_off(service)

    def are_connections_lost(self, service: str) -> bool:
        """Return whether open connections are expected to be lost as well."""
        return self._reachability.are_connections_lost(service)

    def cut_off_services(self) -> list[str]:
        """Return the names of the services whose endpoints seem unreachable from here only."""
        return [name for name in self._services if self.is_cut_off(name)]

    def record_connected(self, view: endpoint_view.EndpointView) -> None:
        """Record that a new connection to an endpoint was established."""
        self._record_contact(view, self._reachability.record_success)

    def record_response(self, view: endpoint_view.EndpointView) -> None:
        """Record that an endpoint responded, over any connection."""
        self._record_contact(view, self._reachability.record_response)

    def _record_contact(self, view, record):
        name = view.endpoint.service
        was_cut_off = self.is_cut_off(name)
        record(name)
        if was_cut_off and not self.is_cut_off(name):
            log.notable("endpoints-reachable", service=name, endpoint=view.endpoint.name)

    def record_failure(self, view: endpoint_view.EndpointView, refused: bool, now: float) -> None:
        """Record that no connection to an endpoint could be opened.

        ``refused``: by an answer, not by a timeout. If the entry turns out to be cut off, endpoints
        that were ejected for such failures are used again.
        """
        if self._chooser.views.get(view.endpoint.name) is not view:
            # The endpoint was removed or replaced while the connection was being opened.
            return
        name = view.endpoint.service
        was_cut_off = self.is_cut_off(name)
        self._reachability.record_failure(name, view.endpoint.name, refused, now)
        if was_cut_off or not self.is_cut_off(name):
            return
        failures = self._reachability.failures(name)
        for endpoint_name in failures:
            self._chooser.views[endpoint_name].withdraw_unreachable()
        log.notable(
            "endpoints-cut-off",
            service=name,
            failed=sorted(failures),
            refused=not self.are_connections_lost(name),
            first_age_s=now - min(failure.at_s for failure in failures.values()),
        )

    def _report_if_cut_off(self):
        is_cut_off = bool(self._services) and len(self.cut_off_services()) == len(self._services)
        if is_cut_off and self._was_cut_off:
            self._gossip.send_cut_off(self._report)
        self._was_cut_off = is_cut_off
