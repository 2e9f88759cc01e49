"""
oriolelock.gateway.core
~~~~~~~~~~~~~~~~~~~~~~~

    State shared by all requests of an entry: configuration, load balancing, connections, health.
"""

import collections.abc
import random

from oriolelock import clock, events
from oriolelock.admission import fingerprint as fingerprints
from oriolelock.dispatch import (
    chooser,
    decisions,
    endpoint_limits,
    endpoint_view,
    observation,
    peer_selection,
    restarts,
    retry_budget,
    route_index,
    splitter,
)
from oriolelock.gateway import (
    connectivity,
    crash_blame,
    forwarded,
    gossip,
    health_checks,
    limit_gossip,
    notice_gossip,
    peer_request,
    pool,
    request_metrics,
    restart_gossip,
    restart_signs,
)
from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import buffer_budget, messages, outbound, transfers
from oriolelock.http1 import loop as loops
from oriolelock.model import configuration, route
from oriolelock.settings import gateway as settings

__all__ = ["Core"]

POOL_SWEEP_INTERVAL_S = 1.0
# From a lost connection to a health check: until it is known whether others have ended as well.
LOST_CHECK_DELAY_S = 2 * restart_signs.JUDGE_DELAY_S
# Bounds of the delay that callers of an entry without a configuration are told.
NOT_READY_RETRY_MIN_S = 0.6
NOT_READY_RETRY_MAX_S = 1.5

log = events.Events("gateway")


class Core:
    """Not thread-safe: used in the loop's thread.

    ``report_crash(key, endpoint)`` adds a death to the crash record of ``key`` in control.
    """

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        loop: loops.Loop,
        words: dialects.Dialect,
        report_crash: collections.abc.Callable[[str, str], object],
        rng: random.Random,
    ):
        self._settings = cfg
        self._rng = rng
        self._started_s = clock.monotonic_s()
        self.loop = loop
        self.words = words
        self.metrics = request_metrics.RequestMetrics()
        budget = buffer_budget.BufferBudget()
        self.pool = pool.Pool(loop, words.request_id, budget)
        self._peer_pool = pool.Pool(loop, words.request_id, budget)
        self._peers = peer_selection.PeerSelection(cfg.name, cfg.region, cfg.failure_domain, rng)
        self.chooser = chooser.Chooser(
            cfg.name, cfg.region, cfg.failure_domain, cfg.shift_speed, rng
        )
        self.gossip = gossip.Gossip(
            loop, cfg.link_listen, cfg.cluster_token, self._apply_report, rng
        )
        self._limit_gossip = limit_gossip.LimitGossip(loop, self.gossip, self.chooser, rng)
        self._notices = notice_gossip.NoticeGossip(
            loop, self.gossip, self.chooser.peer_reports, rng
        )
        self.connectivity = connectivity.Connectivity(cfg.name, loop, self.chooser, self.gossip)
        self.restarts = restart_gossip.RestartGossip(
            loop, self.gossip, self.chooser, rng, self._record_restart
        )
        self._health_checks = health_checks.HealthChecks(
            loop,
            words,
            self.chooser,
            self.connectivity,
            budget,
            self.metrics,
            rng,
            self._record_health,
            self._check_death,
        )
        self._blame = crash_blame.CrashBlame(report_crash)
        # By number of a request in progress: answers it when the process ends.
        self.in_progress: dict[int, collections.abc.Callable[[], None]] = {}
        # Until when requests must end; None unless the process is stopping.
        self.stop_deadline_s: float | None = None
        self._splitters: dict[str, splitter.Splitter] = {}
        self._retries: dict[str, retry_budget.RetryBudget] = {}
        self._cfg = configuration.EMPTY
        self.index = route_index.RouteIndex(self._cfg.table)
        self.is_confirmed = False
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

    @property
    def cfg_in_force(self) -> configuration.Configuration:
        """The configuration in force."""
        return self._cfg

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
        _log_endpoint_states(previous, cfg)
        local_peers = list(self._gossip_peers(cfg, (self._settings.region,)))
        self.gossip.use_peers(local_peers)
        all_peers = list(self._gossip_peers(cfg, None))
        self._limit_gossip.use_peers(all_peers)
        self._notices.use_peers(all_peers)
        self.restarts.use_peers(local_peers, all_peers)
        self._blame.configure(cfg.crashes)
        self.chooser.configure(cfg, now, clock.wall_s())
        self.connectivity.configure(cfg.table.services)
        self._health_checks.configure(cfg.table.services)
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
            case restarts.Report():
                self.restarts.apply(report, now)
            case observation.EndpointNotice():
                self._notices.apply(report, now)
            case observation.UnreachableReport() | observation.SlownessReport():
                self.chooser.peer_reports.apply_symptom(report, now)

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
                cfg.retry_ratio, cfg.retry_allowance, cfg.retry_window_s, self._started_s
            )
            self._retries[service] = budget
        return budget

    def fingerprint(self, service: str, req: messages.Request) -> str:
        """Return the fingerprint of a request; see ``admission.fingerprint``."""
        path, _, query = req.target.partition(b"?")
        host = (req.header(b"host") or b"").lower()
        return fingerprints.make(
            (service, host, req.method, path),
            req.body,
            query,
            forwarded.repeated_headers(req, self.words),
        )

    def quarantined_s(self, fingerprint: str) -> float:
        """Return for how many seconds a request that has crashed endpoints must not be forwarded.

        0 if it may be.
        """
        return self._blame.blocked_s(fingerprint, clock.monotonic_s(), clock.wall_s())

    def may_retry(self, fingerprint: str) -> bool:
        """Return whether a request that may have crashed an endpoint may be retried."""
        return self._blame.may_retry(fingerprint, clock.monotonic_s(), clock.wall_s())

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
        self._blame.record_completion(fingerprint, now)

    def needs_peer(
        self,
        decision: decisions.Send | decisions.Refuse,
        req: messages.Request,
        context: decisions.RequestContext,
        now: float,
    ) -> bool:
        """Return whether a request must be delegated, as no endpoint is reached from here."""
        is_refused = isinstance(decision, decisions.Refuse)
        if not self.connectivity.is_cut_off(context.service):
            return is_refused and decision.unreachable > 0
        if is_refused or self.connectivity.are_connections_lost(context.service):
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

    def record_unreachable(
        self, view: endpoint_view.EndpointView, result: transfers.NotSent, now: float
    ) -> None:
        """Eject an endpoint to which no connection could be opened, unless the entry is cut off."""
        self.connectivity.record_failure(view, result.refused, now)
        is_cut_off = self.connectivity.is_cut_off(view.endpoint.service)
        if result.refused:
            self.restarts.signs.record_refused(view, now)
        if result.refused and not is_cut_off:
            self._record_death(view, now)
        if not is_cut_off and not view.needs_health_check:
            log.notable("endpoint-out", endpoint=view.endpoint.name, reason=result.reason)
            self._notices.report_unreachable(view)
            view.record_unreachable(now, result.refused)
            view.clear_objects()
            is_silent = view.is_reported_unreachable(now) and not view.contact.is_fresh(now)
            if is_silent and not result.refused:
                self.restarts.record_sign(view, result.reason, True)
            self.pool.close_idle(view.endpoint.name)

    def record_connected(self, view: endpoint_view.EndpointView, conn: outbound.Outbound) -> None:
        """Record a new connection to an endpoint."""
        self.connectivity.record_connected(view)
        now = clock.monotonic_s()
        self.restarts.signs.watch(view, conn, not self.chooser.is_limited(view, now), now)

    def record_response(self, view: endpoint_view.EndpointView, conn: outbound.Outbound) -> None:
        """Record a response of an endpoint."""
        self.connectivity.record_response(view)
        self.restarts.record_response(view, conn.connected_s, self.chooser.cold_period_s(view))

    def _record_health(self, view, health):
        self.restarts.record_health(view, health, self.chooser.cold_period_s(view))

    def record_misdirected(self, view: endpoint_view.EndpointView, now: float) -> None:
        """Eject an endpoint at whose address another one answers."""
        log.notable("endpoint-replaced", endpoint=view.endpoint.name)
        self._notices.announce(view, endpoint_view.Fact.REPLACED)
        view.record_replacement(now)
        self.pool.close_idle(view.endpoint.name)

    def record_leaving(self, view: endpoint_view.EndpointView, now: float) -> None:
        """Send no further requests to an endpoint that has said that it ends soon."""
        if view.record_fact(endpoint_view.Fact.LEAVING, now):
            log.notable("endpoint-leaving", endpoint=view.endpoint.name)
            self._notices.announce(view, endpoint_view.Fact.LEAVING)
            self.pool.close_idle(view.endpoint.name)

    def record_pause(self, view: endpoint_view.EndpointView, duration_s: float, now: float) -> None:
        """Send no requests to an endpoint for a time that it has named."""
        log.notable("endpoint-paused", endpoint=view.endpoint.name, for_s=duration_s)
        view.record_pause(duration_s, now)

    def not_ready_retry_after_s(self, now: float) -> float:
        """Return when a caller should return that came before a configuration was in force.

        The longer an entry has waited for it, the longer it will probably take: at first the entry
        alone has started again, later control as well.
        """
        waited_s = now - self._started_s
        delay_s = min(NOT_READY_RETRY_MAX_S, max(NOT_READY_RETRY_MIN_S, waited_s))
        return delay_s * self._rng.uniform(1.0, 1.5)

    def record_lost(
        self, view: endpoint_view.EndpointView, fingerprint: str, sent_s: float, now: float
    ) -> None:
        """Record a connection lost during a request; a health check shows if the endpoint died.

        ``sent_s``: when the request was sent, monotonic.
        """
        self.metrics.count("answers_lost")
        view.record_disconnect(now)
        if not self.connectivity.is_cut_off(view.endpoint.service):
            self._blame.record_loss(view.endpoint.name, fingerprint, sent_s, now, clock.wall_s())
        is_due = not view.health_check_pending and not view.needs_health_check
        if is_due and not view.is_paused(now):
            self.loop.call_later(LOST_CHECK_DELAY_S, lambda: self._check_after_loss(view))

    def _check_after_loss(self, view):
        # An endpoint that has lost all connections is in doubt, and the entries check it in turn.
        now = clock.monotonic_s()
        is_current = self.chooser.views.get(view.endpoint.name) is view
        if is_current and not view.health_check_pending and self.chooser.may_check(view, now):
            self._health_checks.check(view)

    def _record_restart(self, view):
        self._record_death(view, clock.monotonic_s())

    def _check_death(self, view, outcome):
        # An endpoint that accepts connections and is too busy to answer has not died.
        if outcome is health_checks.Outcome.REFUSED:
            now = clock.monotonic_s()
            self.restarts.signs.record_refused(view, now)
            self._record_death(view, now)

    def _record_death(self, view, now):
        if view.is_leaving or view.endpoint.state != "live":
            # It has ended as planned.
            return
        view.clear_objects()
        self._blame.record_death(view.endpoint.name, now, clock.wall_s())

    def cut_off_entries(self, now: float) -> set[str]:
        """Return the names of the other entries that reach no endpoint."""
        return self._peers.cut_off(now)

    def _close_stale_connections(self):
        now = clock.monotonic_s()
        self.pool.close_expired(self.chooser.views, now)
        self._peer_pool.close_expired(self._peers, now)


def _log_endpoint_states(previous, cfg):
    """Log endpoints whose state has changed, and those that are gone, with the change's index."""
    for name, old in previous.endpoints.items():
        new = cfg.endpoints.get(name)
        state = new.state if new else "gone"
        if state != old.state:
            log.notable("endpoint-state", endpoint=name, state=state, index=cfg.index)
