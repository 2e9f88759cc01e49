"""
oriolelock.dispatch.peer_reports
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Facts and symptoms of endpoints that entries tell each other.
"""

import collections.abc

from oriolelock.dispatch import endpoint_view, observation, ranking
from oriolelock.model import endpoint

__all__ = ["PeerReports", "endpoint_digest", "view_digest"]

# A request at an endpoint for this many times the expected time is reported.
SLOW_RATIO = 2.0
# Time after which a short request may count as slow.
MIN_SLOW_S = 0.3
# Between reports of the same endpoint.
REPORT_INTERVAL_S = 0.5


def view_digest(view: endpoint_view.EndpointView) -> int:
    """Return a digest of an endpoint's incarnation, the same on every entry.

    The start time may be unknown, so that the address tells some incarnations apart.
    """
    return endpoint_digest(view.endpoint)


def endpoint_digest(instance: endpoint.Endpoint) -> int:
    """Return the digest of the incarnation that the instance list describes."""
    return ranking.digest(f"{instance.name}\n{instance.started_ms}\n{instance.address}")


class PeerReports:
    """Not thread-safe; times are monotonic seconds. ``domain``: the entry's failure domain."""

    def __init__(self, domain: str):
        self._domain_digest = ranking.digest(domain)
        # By ``view_digest``.
        self._views: dict[int, endpoint_view.EndpointView] = {}
        # When the slowness of an endpoint was last reported, by digest.
        self._reported_s: dict[int, float] = {}

    def configure(self, views: collections.abc.Iterable[endpoint_view.EndpointView]) -> None:
        """Replace the endpoints."""
        self._views = {view_digest(view): view for view in views}
        self._reported_s = {k: v for k, v in self._reported_s.items() if k in self._views}

    def unreachable(self, view: endpoint_view.EndpointView) -> observation.UnreachableReport:
        """Return a report that this entry can't connect to an endpoint."""
        return observation.UnreachableReport(view_digest(view), self._domain_digest)

    def find_slow(self, now: float) -> list[observation.SlownessReport]:
        """Return reports of endpoints at which requests take too long, once an interval each."""
        reports = []
        for digest, view in self._views.items():
            ratio = view.overdue_ratio(now, MIN_SLOW_S) if view.in_flight else 0.0
            since_s = now - self._reported_s.get(digest, float("-inf"))
            if ratio >= SLOW_RATIO and since_s >= REPORT_INTERVAL_S:
                self._reported_s[digest] = now
                reports.append(observation.SlownessReport(digest, self._domain_digest, ratio))
        return reports

    def apply_notice(
        self, notice: observation.EndpointNotice, now: float
    ) -> endpoint_view.EndpointView | None:
        """Apply a fact; returns the endpoint if this entry did not know it."""
        view = self._views.get(notice.endpoint_digest)
        return view if view is not None and view.record_fact(notice.fact, now) else None

    def apply_symptom(
        self, report: observation.UnreachableReport | observation.SlownessReport, now: float
    ) -> None:
        """Apply what an entry has experienced."""
        view, domain_digest = self._views.get(report.endpoint_digest), report.domain_digest
        if view is None:
            return
        match report:
            case observation.UnreachableReport():
                view.record_reported_unreachable(domain_digest, now)
            case observation.SlownessReport():
                view.record_reported_slowness(domain_digest, report.ratio, now)
