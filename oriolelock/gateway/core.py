"""
oriolelock.gateway.core
~~~~~~~~~~~~~~~~~~~~~~~

    State shared by all requests of an entry: configuration, load balancing, connections, health.
"""

import collections.abc
import random

from oriolelock import clock, events
from oriolelock.admission import quarantine
from oriolelock.dispatch import (
    chooser,
    decisions,
    endpoint_limits,
    endpoint_view,
    observation,
    peer_selection,
    ranking,
    reachability,
    retry_budget,
    route_index,
    splitter,
)
from oriolelock.gateway import dialect as dialects
from oriolelock.gateway import facts, gossip, limit_gossip, peer_request, pool, request_metrics
from oriolelock.http1 import buffer_budget, messages, outbound, transfers
from oriolelock.http1 import loop as loops
from oriolelock.model import configuration, route
from oriolelock.settings import gateway as settings

__all__ = ["Core"]

HEALTH_CHECK_TIMEOUT_S = 1.0
HEALTH_CHECK_CONNECT_TIMEOUT_S = 0.35
HEALTH_CHECK_INTERVAL_S = 0.1
# Between health checks of a service whose endpoints are not reached.
PROBE_INTERVAL_S = 0.25
CUT_OFF_REPORT_INTERVAL_S = 0.5
# A shorter fault is over before others could act on it.
CUT_OFF_REPORT_DELAY_S = 0.5
POOL_SWEEP_INTERVAL_S = 1.0

log = events.Events("gateway")


class Core:
    """Not thread-safe: used in the loop's thread.

    ``report_crash(fingerprint, endpoint)`` reports to control that an endpoint died while it ran
    the request with this fingerprint.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        loop: loops.Loop,
        words: dialects.Dialect,
        report_crash: collections.abc.Callable[[str, str], None],
        rng: random.Random,
    ):
        self._settings = cfg
        self._rng = rng
        self._report_crash = report_crash
        self.loop = loop
        self.words = words
        self.metrics = request_metrics.RequestMetrics()
        budget = buffer_budget.BufferBudget()
        self.pool = pool.Pool(loop, words.request_id, budget)
        self._peer_pool = pool.Pool(loop, words.request_id, budget)
        # Since when no endpoint of any service is reached.
        self._cut_off_since_s: float | None = None
        self._peers = peer_selection.PeerSelection(cfg.name, cfg.region, cfg.failure_domain, rng)
        self.chooser = chooser.Chooser(
            cfg.name, cfg.region, cfg.failure_domain, cfg.shift_speed, rng
        )
        self.gossip = gossip.Gossip(
            loop, cfg.link_listen, cfg.cluster_token, self._apply_report, rng
        )
        self._limit_gossip = limit_gossip.LimitGossip(loop, self.gossip, self.chooser, rng)
        self.reachability = reachability.Reachability()
        self._quarantine = quarantine.Quarantine()
        # By number of a request in progress: answers it when the process ends.
        self.in_progress: dict[int, collections.abc.Callable[[], None]] = {}
        # Until when requests must end; None unless the process is stopping.
        self.stop_deadline_s: float | None = None
        self._splitters: dict[str, splitter.Splitter] = {}
        self._retries: dict[str, retry_budget.RetryBudget] = {}
        self._cfg = configuration.EMPTY
        self.index = route_index.RouteIndex(self._cfg.table)
        self.is_confirmed = False
        loop.call_each(HEALTH_CHECK_INTERVAL_S, self._check_due_endpoints)
        loop.call_each(PROBE_INTERVAL_S, self._probe_cut_off_services)
        loop.call_each(CUT_OFF_REPORT_INTERVAL_S, self._report_cut_off)
        loop.call_each(POOL_SWEEP_INTERVAL_S, self._close_stale_connections)

    @property
    def is_ready(self) -> bool:
        """True once a configuration with routes is in force."""
        return self.is_confirmed and self.revision > 0

    @property
    def cluster_token(self) -> str:
        """The token that the system's processes share."""
        return self._settings.cluster_token

    @property
    def revision(self) -> int:
        """The revision of the routes in force."""
        return self._cfg.table.revision

    def route_named(self, name: str) -> route.Route | None:
        """Return the route in force with this name."""
        return self._cfg.table.routes.get(name)

    @property
    def limits(self):
        """Limits on callers' requests."""
        return self._cfg.table.limits

    def end_requests(self) -> None:
        """Answer all requests in progress, as the process ends."""
        for end_at_stop in list(self.in_progress.values()):
            end_at_stop()

    def configure(self, cfg: configuration.Configuration) -> None:
        """Apply a configuration."""
        now, previous = clock.monotonic_s(), self._cfg
        self._cfg = cfg
        self.is_confirmed = True
        if cfg.table is not previous.table:
            self.index = route_index.RouteIndex(cfg.table)
            self._splitters = {
                name: existing
                for name, existing in self._splitters.items()
                if name in cfg.table.routes and cfg.table.routes[name].parts == existing.parts
            }
            log.notable(
                "routes-in-force", revision=cfg.table.revision, routes=len(cfg.table.routes)
            )
        if cfg.drains != previous.drains:
            log.notable("drains", targets=sorted(d.target for d in cfg.drains.values()))
        self.gossip.use_peers(self._gossip_peers(cfg, (self._settings.region,)))
        self._limit_gossip.use_peers(self._gossip_peers(cfg, None))
        self._quarantine.configure(cfg.crashes)
        self.chooser.configure(cfg, now, clock.wall_s())
        self.reachability.retain(self.chooser.views)
        self._peers.configure(cfg.members.values())

    def _gossip_peers(self, cfg, regions):
        """Yield the addresses of the other live entries in ``regions``; None for all regions."""
        for entry in cfg.members.values():
            if entry.role == "entry" and entry.state == "live":
                host, _, port = entry.link_address.partition(":")
                is_included = regions is None or entry.region in regions
                if is_included and entry.name != self._settings.name and port.isdigit():
                    yield host, int(port)

    def _apply_report(self, report):
        now = clock.monotonic_s()
        match report:
            case observation.Observation():
                self.chooser.observed(report, now)
            case observation.CutOffReport():
                name = self._peers.apply_cut_off_report(report, now)
                if name:
                    log.notable("entry-cut-off", entry=name)
            case observation.LimitReport():
                endpoint = self._limit_gossip.apply(report, now)
                if endpoint:
                    self._log_limit(endpoint, report.rate, report.age_s, "gossip")

    def cut_off_count(self) -> int:
        """Return the number of services whose endpoints seem unreachable from here only."""
        return sum(self.reachability.is_cut_off(name) for name in self._cfg.table.services)

    def splitter_of(self, route) -> splitter.Splitter:
        """Return the splitter of a route's requests among its services."""
        route_splitter = self._splitters.get(route.name)
        if route_splitter is None:
            route_splitter = self._splitters[route.name] = splitter.Splitter(route.parts, self._rng)
        return route_splitter

    def retry_budget_of(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        budget = self._retries.get(service)
        if budget is None:
            cfg = self._settings
            budget = retry_budget.RetryBudget(
                cfg.retry_ratio, cfg.retry_allowance, cfg.retry_window_s
            )
            self._retries[service] = budget
        return budget

    def fingerprint(self, service: str, route_name: str, req: messages.Request) -> str:
        """Return a digest that is the same when a caller repeats the request."""
        path = req.path.decode("latin-1")
        return quarantine.fingerprint(service, route_name, path, req.body)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request has crashed endpoints and must not be forwarded."""
        return self._quarantine.is_blocked(fingerprint, clock.monotonic_s(), clock.wall_s())

    def may_retry(self, fingerprint: str) -> bool:
        """Return whether a request that may have crashed an endpoint may be retried."""
        return self._quarantine.may_retry(fingerprint, clock.monotonic_s(), clock.wall_s())

    def record_rate_limit(
        self, view: endpoint_view.EndpointView, rate: float | None, now: float
    ) -> None:
        """Record the request rate that an endpoint announced in a response."""
        name = view.endpoint.name
        if rate is None:
            log.notable("endpoint-limit-malformed", endpoint=name)
            return
        is_current = self.chooser.views.get(name) is view
        if is_current and self.chooser.limits.record(name, rate, now, now):
            self._limit_gossip.announce(name)
            self._log_limit(name, rate, 0.0, "response")

    def _log_limit(self, endpoint, rate, age_s, source):
        # JSON has no infinity.
        per_s = None if rate == endpoint_limits.UNLIMITED else rate
        log.notable("endpoint-limit", endpoint=endpoint, per_s=per_s, age_s=age_s, source=source)

    def record_success(self, fingerprint: str, now: float) -> None:
        """Record that a request completed without an error."""
        self._quarantine.record_completion(fingerprint, now)

    def needs_peer(
        self,
        decision: decisions.Send | decisions.Refuse,
        req: messages.Request,
        context: decisions.RequestContext,
        now: float,
    ) -> bool:
        """Return whether a request must be delegated, as no endpoint is reached from here."""
        reach, is_refused = self.reachability, isinstance(decision, decisions.Refuse)
        if not reach.is_cut_off(context.service):
            return is_refused and decision.unreachable > 0
        if is_refused or reach.are_connections_lost(context.service):
            return True
        view, request_id = decision.view, req.header(self.words.request_id) or b""
        return not self.pool.has_usable(
            view.endpoint.name, view.address, context.route.idempotent, request_id, now
        )

    def make_peer_request(
        self,
        req: messages.Request,
        request_route: route.Route,
        fallback: peer_request.Refused,
        on_end: collections.abc.Callable[[peer_request.Result], None],
    ) -> peer_request.PeerRequest:
        """Return a request to other entries, not started yet."""
        return peer_request.PeerRequest(
            self._peers,
            self._peer_pool,
            self.cluster_token,
            req,
            request_route,
            fallback,
            on_end,
        )

    def record_connected(self, view: endpoint_view.EndpointView) -> None:
        """Record that a new connection to an endpoint was established."""
        self._record_contact(view, self.reachability.record_success)

    def record_response(self, view: endpoint_view.EndpointView) -> None:
        """Record that an endpoint responded, over any connection."""
        self._record_contact(view, self.reachability.record_response)

    def _record_contact(self, view, record):
        name = view.endpoint.service
        was_cut_off = self.reachability.is_cut_off(name)
        record(name)
        if was_cut_off and not self.reachability.is_cut_off(name):
            log.notable("endpoints-reachable", service=name, endpoint=view.endpoint.name)

    def record_unreachable(
        self, view: endpoint_view.EndpointView, result: transfers.NotSent, now: float
    ) -> None:
        """Eject an endpoint to which no connection could be opened, unless the entry is cut off."""
        self._record_connect_failure(view, result.refused, now)
        is_cut_off = self.reachability.is_cut_off(view.endpoint.service)
        if not is_cut_off and not view.needs_health_check:
            log.notable("endpoint-out", endpoint=view.endpoint.name, reason=result.reason)
            view.record_unreachable(now)
            view.clear_objects()
            self.pool.close_idle(view.endpoint.name)

    def _record_connect_failure(self, view, refused, now):
        name = view.endpoint.service
        was_cut_off = self.reachability.is_cut_off(name)
        self.reachability.record_failure(name, view.endpoint.name, refused, now)
        if self.reachability.is_cut_off(name) and not was_cut_off:
            failures = self.reachability.failures(name)
            for endpoint_name in failures:
                self.chooser.views[endpoint_name].withdraw_unreachable()
            log.notable(
                "endpoints-cut-off",
                service=name,
                failed=sorted(failures),
                refused=not self.reachability.are_connections_lost(name),
                first_age_s=now - min(failure.at_s for failure in failures.values()),
            )

    def record_misdirected(self, view: endpoint_view.EndpointView, now: float) -> None:
        """Eject an endpoint at whose address another one answers."""
        log.notable("endpoint-replaced", endpoint=view.endpoint.name)
        view.record_replacement(now)
        self.pool.close_idle(view.endpoint.name)

    def record_lost(
        self, view: endpoint_view.EndpointView, fingerprint: str, reason: str, now: float
    ) -> None:
        """Record a connection lost during a request; a health check shows if the endpoint died."""
        self.metrics.count("answers_lost")
        view.record_disconnect(now)
        if not view.health_check_pending and not view.needs_health_check:
            self._check_health(
                view, lambda is_reachable: is_reachable or self._report_death(view, fingerprint)
            )

    def _report_death(self, view, fingerprint):
        now = clock.monotonic_s()
        view.clear_objects()
        if self._quarantine.record_death(fingerprint, view.endpoint.name, now):
            log.notable("endpoint-died", endpoint=view.endpoint.name, mark=fingerprint)
            self._report_crash(fingerprint, view.endpoint.name)

    def _check_due_endpoints(self):
        now = clock.monotonic_s()
        for view in self.chooser.views.values():
            if self._is_check_due(view, now):
                self._check_health(view, lambda is_reachable: None)

    def _update_cut_off(self, now):
        services = self._cfg.table.services
        if not services or self.cut_off_count() < len(services):
            self._cut_off_since_s = None
        elif self._cut_off_since_s is None:
            self._cut_off_since_s = now

    def _is_long_cut_off(self, now):
        since_s = self._cut_off_since_s
        return since_s is not None and now - since_s >= CUT_OFF_REPORT_DELAY_S

    def cut_off_entries(self, now: float) -> set[str]:
        """Return the names of the other entries that reach no endpoint."""
        return self._peers.cut_off(now)

    def _report_cut_off(self):
        if self._is_long_cut_off(clock.monotonic_s()):
            name = self._settings.name
            self.gossip.send_cut_off(observation.CutOffReport(ranking.digest(name)))

    def _probe_cut_off_services(self):
        """Check one endpoint of each service that is cut off, to learn when the cut has ended."""
        now = clock.monotonic_s()
        self._update_cut_off(now)
        for name in self._cfg.table.services:
            if self.reachability.is_cut_off(name):
                views = [
                    view
                    for view in self.chooser.views.values()
                    if view.endpoint.service == name
                    and view.is_usable(now)
                    and not view.health_check_pending
                    and self._limit_wait_s(view, now) <= 0.0
                ]
                if views:
                    self._check_health(self._rng.choice(views), lambda is_reachable: None)

    def _limit_wait_s(self, view, now):
        # A health check is a request like any other to an endpoint that has announced a rate.
        instance = view.endpoint
        return self.chooser.limits.wait_s(instance.name, instance.region, 0, now)

    def _is_check_due(self, view, now):
        if not view.needs_health_check or view.health_check_pending or now < view.ejected_until_s:
            return False
        return view.endpoint.state == "live" and self._limit_wait_s(view, now) <= 0.0

    def _check_health(self, view, on_checked):
        """Check an endpoint's health, then call ``on_checked(is_reachable)``."""
        view.health_check_pending = True
        service = self._cfg.table.services.get(view.endpoint.service)
        if service is None:
            view.health_check_pending = False
            return
        self.metrics.count("health_checks")
        self.chooser.limits.record_sent(view.endpoint.name, clock.monotonic_s())
        headers = ((b"host", view.endpoint.address.encode()), (b"connection", b"close"))
        req = messages.Request(b"GET", service.health_path.encode(), headers)
        conn = outbound.Outbound(
            self.loop, view.address, self.words.request_id, lambda c: None, self.pool.budget
        )
        conn.on_connected = lambda: self.record_connected(view)
        timer = self.loop.call_later(HEALTH_CHECK_TIMEOUT_S, lambda: expired())

        def finished(result):
            timer.cancel()
            now = clock.monotonic_s()
            health = None
            if isinstance(result, transfers.Answered):
                health = facts.health(result.response, self.words)
            elif isinstance(result, transfers.NotSent) and result.reason != "check-timeout":
                self._record_connect_failure(view, result.refused, now)
            was_ejected = view.needs_health_check
            if health is None and self.reachability.is_cut_off(view.endpoint.service):
                view.postpone_health_check(now)
                return
            view.record_health_check(health, self.chooser.cold_period_s(view), now)
            if was_ejected and not view.needs_health_check:
                log.notable("endpoint-back", endpoint=view.endpoint.name, cold_ms=health.cold_ms)
            elif view.needs_health_check and not was_ejected:
                log.notable("endpoint-out", endpoint=view.endpoint.name, reason="health check")
            on_checked(health is not None)

        def expired():
            conn.abort()
            finished(transfers.NotSent("check-timeout"))

        conn.send(req, HEALTH_CHECK_CONNECT_TIMEOUT_S, finished, outbound.MAX_HEALTH_BODY_BYTES)

    def _close_stale_connections(self):
        now = clock.monotonic_s()
        self.pool.close_expired(self.chooser.views, now)
        self._peer_pool.close_expired(self._peers, now)
