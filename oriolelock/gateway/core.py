"""
oriolelock.gateway.core
~~~~~~~~~~~~~~~~~~~~~~~

    What the requests of one entry share: configuration, decisions, connections, reports.
"""

import collections.abc
import random

from oriolelock import clock, events
from oriolelock.admission import quarantine
from oriolelock.dispatch import chooser, endpoint_view, retry_budget, route_index, splitter
from oriolelock.gateway import dialect as dialects
from oriolelock.gateway import facts, gossip, pool, request_metrics
from oriolelock.http1 import loop as loops
from oriolelock.http1 import messages, outbound, transfers
from oriolelock.model import configuration
from oriolelock.settings import gateway as settings

__all__ = ["Core"]

CHECK_LIMIT_S = 1.0
CHECK_CONNECT_S = 0.35
TICK_S = 0.1
SWEEP_S = 1.0

log = events.Events("gateway")


class Core:
    """Not thread-safe: used in the loop's thread. ``report_crash(mark, endpoint)`` tells control
    of an endpoint that died while it ran a request."""

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
        self.pool = pool.Pool(loop, words.request_id)
        self.chooser = chooser.Chooser(
            cfg.name, cfg.region, cfg.failure_domain, cfg.shift_speed, rng
        )
        self.gossip = gossip.Gossip(loop, cfg.link_listen, cfg.cluster_token, self._hear, rng)
        self._quarantine = quarantine.Quarantine()
        self._splitters: dict[str, splitter.Splitter] = {}
        self._retries: dict[str, retry_budget.RetryBudget] = {}
        self._cfg = configuration.EMPTY
        self.index = route_index.RouteIndex(self._cfg.table)
        self.is_confirmed = False
        loop.call_each(TICK_S, self._tick)
        loop.call_each(SWEEP_S, self._sweep)

    @property
    def is_ready(self) -> bool:
        """True once a configuration with routes is in force."""
        return self.is_confirmed and self.revision > 0

    @property
    def revision(self) -> int:
        """The revision of the routes in force."""
        return self._cfg.table.revision

    @property
    def limits(self):
        """What callers may send."""
        return self._cfg.table.limits

    def configure(self, cfg: configuration.Configuration) -> None:
        """Use a configuration."""
        now, old = clock.monotonic_s(), self._cfg
        self._cfg = cfg
        self.is_confirmed = True
        if cfg.table is not old.table:
            self.index = route_index.RouteIndex(cfg.table)
            self._splitters = {
                name: item
                for name, item in self._splitters.items()
                if name in cfg.table.routes and cfg.table.routes[name].parts == item.parts
            }
            log.notable(
                "routes-in-force", revision=cfg.table.revision, routes=len(cfg.table.routes)
            )
        if cfg.drains != old.drains:
            log.notable("drains", targets=sorted(d.target for d in cfg.drains.values()))
        self.gossip.use_peers(self._peers(cfg))
        self._quarantine.configure(cfg.crashes)
        self.chooser.configure(cfg, now, clock.wall_s())

    def _peers(self, cfg):
        """Yield the addresses of the other entries of the region."""
        own = self._settings
        for item in cfg.members.values():
            if item.role == "entry" and item.state == "live" and item.region == own.region:
                host, _, port = item.link_address.partition(":")
                if item.name != own.name and port.isdigit():
                    yield host, int(port)

    def _hear(self, found):
        self.chooser.observed(found, clock.monotonic_s())

    def splitter(self, item) -> splitter.Splitter:
        """Return what divides a route's requests among its services."""
        found = self._splitters.get(item.name)
        if found is None:
            found = self._splitters[item.name] = splitter.Splitter(item.parts, self._rng)
        return found

    def retries(self, service: str) -> retry_budget.RetryBudget:
        """Return the retry budget of a service."""
        found = self._retries.get(service)
        if found is None:
            cfg = self._settings
            found = retry_budget.RetryBudget(
                cfg.retry_ratio, cfg.retry_allowance, cfg.retry_window_s
            )
            self._retries[service] = found
        return found

    def fingerprint(self, service: str, route_name: str, req: messages.Request) -> str:
        """Return what stays the same when a caller sends a request again."""
        path = req.path.decode("latin-1")
        return quarantine.fingerprint(service, route_name, path, req.body)

    def is_quarantined(self, mark: str) -> bool:
        """Return whether a request has crashed endpoints and must not reach another."""
        return self._quarantine.blocked(mark, clock.monotonic_s(), clock.wall_s())

    def may_repeat(self, mark: str) -> bool:
        """Return whether a request that may have crashed an endpoint may be sent again."""
        return self._quarantine.may_retry(mark, clock.monotonic_s(), clock.wall_s())

    def completed(self, mark: str, now: float) -> None:
        """Note that a request was answered well."""
        self._quarantine.completed(mark, now)

    def unreachable(self, view: endpoint_view.EndpointView, reason: str, now: float) -> None:
        """Note that no connection to an endpoint could be opened."""
        if not view.needs_health_check:
            log.notable("endpoint-out", endpoint=view.endpoint.name, reason=reason)
            view.record_failure(now)
            view.clear_objects()
            self.pool.drop(view.endpoint.name)

    def misdirected(self, view: endpoint_view.EndpointView, now: float) -> None:
        """Note that another endpoint answers at the address."""
        log.notable("endpoint-replaced", endpoint=view.endpoint.name)
        view.record_replacement(now)
        self.pool.drop(view.endpoint.name)

    def lost(self, view: endpoint_view.EndpointView, mark: str, reason: str, now: float) -> None:
        """Note that a connection ended under a request; a check tells whether more is wrong."""
        self.metrics.count("answers_lost")
        view.record_disconnect(now)
        if not view.health_check_pending and not view.needs_health_check:
            self._check(view, lambda is_alive: is_alive or self._died(view, mark))

    def _died(self, view, mark):
        now = clock.monotonic_s()
        view.clear_objects()
        if self._quarantine.died(mark, view.endpoint.name, now):
            log.notable("endpoint-died", endpoint=view.endpoint.name, mark=mark)
            self._report_crash(mark, view.endpoint.name)

    def _tick(self):
        now = clock.monotonic_s()
        for view in self.chooser.views.values():
            due = (
                view.needs_health_check
                and not view.health_check_pending
                and now >= view.ejected_until_s
            )
            if due and view.endpoint.state == "live":
                self._check(view, lambda is_alive: None)

    def _check(self, view, then):
        """Ask an endpoint for its health; ``then`` is told whether it could be reached."""
        view.health_check_pending = True
        service = self._cfg.table.services.get(view.endpoint.service)
        if service is None:
            view.health_check_pending = False
            return
        self.metrics.count("health_checks")
        headers = ((b"host", view.endpoint.address.encode()), (b"connection", b"close"))
        req = messages.Request(b"GET", service.health_path.encode(), headers)
        conn = outbound.Outbound(self.loop, view.address, self.words.request_id, lambda c: None)
        timer = self.loop.call_later(CHECK_LIMIT_S, lambda: expired())

        def finished(result):
            timer.cancel()
            now = clock.monotonic_s()
            answer = None
            if isinstance(result, transfers.Answered):
                answer = facts.health(result.response, self.words)
            was_out = view.needs_health_check
            view.record_health_check(answer, self.chooser.cold_period_s(view), now)
            if was_out and not view.needs_health_check:
                log.notable("endpoint-back", endpoint=view.endpoint.name, cold_ms=answer.cold_ms)
            elif view.needs_health_check and not was_out:
                log.notable("endpoint-out", endpoint=view.endpoint.name, reason="health check")
            then(answer is not None)

        def expired():
            conn.abort()
            finished(transfers.NotSent("check-timeout"))

        conn.send(req, CHECK_CONNECT_S, finished)

    def _sweep(self):
        self.pool.sweep(self.chooser.views, clock.monotonic_s())
