"""
oriolelock.gateway.health_checks
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Health checks: whether ejected endpoints may be used again, and whether services that are cut
    off can be reached again.
"""

import collections.abc
import enum
import random

from oriolelock import clock, events
from oriolelock.dispatch import chooser, endpoint_view
from oriolelock.gateway import connectivity, facts, request_metrics
from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import buffer_budget, messages, outbound, transfers
from oriolelock.http1 import loop as loops
from oriolelock.model import service

__all__ = ["HealthChecks", "Outcome"]

TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.35
INTERVAL_S = 0.1
# Between health checks of a service whose endpoints are not reached.
PROBE_INTERVAL_S = 0.25

log = events.Events("gateway")


class Outcome(enum.Enum):
    """What a health check shows."""

    ANSWERED = "answered"
    REFUSED = "refused"  # nothing listens at the address
    SILENT = "silent"  # no response in time


class HealthChecks:
    """Not thread-safe: used in the loop's thread. ``budget``: of buffered bytes.

    ``on_health(view, health)`` is called for each response of the endpoint itself, and
    ``on_checked(view, outcome)`` is called after each check, unless the entry is cut off, which
    tells nothing of the endpoint.
    """

    def __init__(
        self,
        loop: loops.Loop,
        words: dialects.Dialect,
        endpoint_chooser: chooser.Chooser,
        endpoint_connectivity: connectivity.Connectivity,
        budget: buffer_budget.BufferBudget,
        metrics: request_metrics.RequestMetrics,
        rng: random.Random,
        on_health: collections.abc.Callable[
            [endpoint_view.EndpointView, endpoint_view.Health], None
        ],
        on_checked: collections.abc.Callable[[endpoint_view.EndpointView, Outcome], None],
    ):
        self._loop = loop
        self._words = words
        self._chooser = endpoint_chooser
        self._connectivity = endpoint_connectivity
        self._budget = budget
        self._metrics = metrics
        self._rng = rng
        self._on_health = on_health
        self._on_checked = on_checked
        self._services: collections.abc.Mapping[str, service.Service] = {}
        loop.call_each(INTERVAL_S, self._check_due_endpoints)
        loop.call_each(PROBE_INTERVAL_S, self._probe_cut_off_services)

    def configure(self, services: collections.abc.Mapping[str, service.Service]) -> None:
        """Apply the services, by name."""
        self._services = services

    def _check_due_endpoints(self):
        now = clock.monotonic_s()
        for view in self._chooser.views.values():
            if self._is_doubt_check_due(view, now) or self._is_check_due(view, now):
                self.check(view)

    def _probe_cut_off_services(self):
        """Check one endpoint of each service that is cut off, to learn when the cut has ended."""
        now = clock.monotonic_s()
        for name in self._connectivity.cut_off_services():
            views = [
                view
                for view in self._chooser.views.values()
                if view.endpoint.service == name
                and view.is_usable(now)
                and not view.health_check_pending
                and self._hold_s(view, now) <= 0.0
                and self._chooser.may_check(view, now)
            ]
            if views:
                self.check(self._rng.choice(views))

    def _hold_s(self, view, now):
        # A health check is a request like any other to an endpoint that has announced a rate or
        # wants no requests for a while.
        instance = view.endpoint
        limit_wait_s = self._chooser.limits.wait_s(instance.name, instance.region, 0, now)
        return max(limit_wait_s, view.pause_s(now))

    def _is_doubt_check_due(self, view, now):
        if not view.is_staying(now) or view.health_check_pending or self._hold_s(view, now) > 0.0:
            return False
        return self._chooser.is_check_due(view, now)

    def _is_check_due(self, view, now):
        if not view.needs_health_check or view.health_check_pending or now < view.ejected_until_s:
            return False
        is_wanted = view.endpoint.state == "live" and not view.is_leaving
        if not is_wanted or self._hold_s(view, now) > 0.0:
            return False
        return self._chooser.may_check(view, now)

    def check(self, view: endpoint_view.EndpointView) -> None:
        """Check an endpoint's health."""
        view.health_check_pending = True
        config = self._services.get(view.endpoint.service)
        if config is None:
            view.health_check_pending = False
            return
        self._metrics.count("health_checks")
        now = clock.monotonic_s()
        self._chooser.limits.record_sent(view.endpoint.name, now)
        self._chooser.record_cold_check(view, now)
        headers = ((b"host", view.endpoint.address.encode()), (b"connection", b"close"))
        req = messages.Request(b"GET", config.health_path.encode(), headers)
        conn = outbound.Outbound(
            self._loop, view.address, self._words.request_id, lambda c: None, self._budget
        )
        conn.on_connected = lambda: self._connectivity.record_connected(view)
        timer = self._loop.call_later(TIMEOUT_S, lambda: expired())

        def finished(result):
            timer.cancel()
            self._apply(view, result, conn.connected_s > 0.0)

        def expired():
            conn.abort()
            finished(transfers.NotSent("check-timeout"))

        conn.send(req, CONNECT_TIMEOUT_S, finished, outbound.MAX_HEALTH_BODY_BYTES)

    def _apply(self, view, result, was_connected):
        now = clock.monotonic_s()
        health = None
        if isinstance(result, transfers.Answered):
            health = facts.health(result.response, self._words)
        elif isinstance(result, transfers.NotSent) and result.reason != "check-timeout":
            self._connectivity.record_failure(view, result.refused, now)
        was_ejected = view.needs_health_check
        is_own = health is not None and health.endpoint_id in ("", view.endpoint.name)
        if health is None and self._connectivity.is_cut_off(view.endpoint.service):
            view.postpone_health_check(now)
            return
        outcome = _outcome(health, result)
        state = self._chooser.restarts.state(view.restart_digest, now)
        is_other = health is not None and not is_own
        if state.is_open and not was_ejected and not is_other and not _is_healthy(health):
            # It gets no requests, and the next entry checks it soon.
            view.end_check()
            if is_own:
                view.record_words(health, now)
            if was_connected and not (health is None and isinstance(result, transfers.Lost)):
                self._on_health(view, health or endpoint_view.Health(False))
            self._on_checked(view, outcome)
            return
        cold_s = self._chooser.cold_period_s(view)
        view.record_health_check(health, cold_s, now, outcome is Outcome.REFUSED)
        if was_ejected and not view.needs_health_check:
            log.notable("endpoint-back", endpoint=view.endpoint.name, cold_ms=health.cold_ms)
        elif view.needs_health_check and not was_ejected:
            log.notable("endpoint-out", endpoint=view.endpoint.name, reason="health check")
        if health is not None and health.is_healthy and is_own:
            self._on_health(view, health)
        self._on_checked(view, outcome)


def _is_healthy(health):
    return health is not None and health.is_healthy


def _outcome(health, result):
    if health is not None:
        return Outcome.ANSWERED
    is_refused = isinstance(result, transfers.NotSent) and result.refused
    return Outcome.REFUSED if is_refused else Outcome.SILENT
