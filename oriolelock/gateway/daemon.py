"""
oriolelock.gateway.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~

    One entry of HTTP routes: composition, start-up, and graceful shutdown.
"""

import concurrent.futures
import dataclasses
import random
import types
import uuid

from oriolelock import clock, events
from oriolelock.dispatch import restarts
from oriolelock.distribution import errors, relay, tree, uplink
from oriolelock.distribution import messages as distribution
from oriolelock.gateway import core, crash_reports, delegated_flow, delegation, flow
from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import body_budget, messages, server, server_rules, shutdown
from oriolelock.http1 import loop as loops
from oriolelock.lookup import entry_choice
from oriolelock.model import changes, member, request_limits
from oriolelock.settings import gateway as settings
from oriolelock.wire import hello

__all__ = ["Gateway"]

REGISTER_INTERVAL_S = 0.3
REGISTER_TIMEOUT_S = 2.0
# Shutdown phases relative to the grace period after SIGTERM. Until the first, requests are accepted
# while callers refresh their lists of entries; until the second, requests in flight are finished.
ACCEPT_RATIO = 0.25
STOP_RATIO = 0.88
# Requests that are still in progress are answered this long before the second.
LAST_ANSWERS_S = 0.1

log = events.Events("gateway")


class Gateway:
    """One entry; ``run`` serves until ``leave`` has finished the requests in flight.

    ``lookups``: module with ``question(req)`` and ``answer(members)``, which parse and answer
    callers' look-ups of entries.
    """

    def __init__(
        self, cfg: settings.GatewaySettings, dialect: dialects.Dialect, lookups: types.ModuleType
    ):
        self._settings = cfg
        self._dialect = dialect
        self._state = "live"
        self._since_s = clock.wall_s()
        self._refuses_requests = False
        self.loop = loops.Loop()
        self._control_calls = concurrent.futures.ThreadPoolExecutor(1, "control-call")
        self._crash_reports = crash_reports.CrashReports(
            lambda change, timeout_s: self._uplink.call(change, timeout_s)
        )
        self._registering = False
        self.core = core.Core(cfg, self.loop, dialect, self._crash_reports.send, random.Random())
        self._control = cfg.control
        self._uplink = uplink.Uplink(
            self._parents,
            hello.Hello(
                hello.PROTOCOL_VERSION,
                cfg.cluster,
                cfg.cluster_token,
                cfg.name,
                "entry",
                uuid.uuid4().hex,
            ),
            self._report,
            None,
            self._on_config,
            descendant_reports=lambda: self._relay.take_new_reports(),
        )
        self._relay = relay.Relay(cfg.name, cfg.cluster, cfg.cluster_token, self._uplink)
        self._bodies = body_budget.BodyBudget()
        self._servers = [
            self._serve(cfg.listen, self._handle_request, lambda: self.core.limits),
            self._serve(cfg.peer_listen, self._handle_delegated, self._peer_limits),
        ]
        fixed = request_limits.RequestLimits()
        self._lookups = lookups
        self._serve(cfg.ready_listen, self._handle_ready, lambda: fixed)
        if cfg.lookup_listen:
            self._serve(cfg.lookup_listen, self._handle_lookup, lambda: fixed)
        if cfg.metrics_listen:
            self._serve(cfg.metrics_listen, self._handle_metrics, lambda: fixed)
        self.loop.call_each(REGISTER_INTERVAL_S, self._register_if_needed)

    def _serve(self, address, handler, limits):
        rules = server_rules.ServerRules(
            handler, limits, self._on_malformed, self._is_leaving, bodies=self._bodies
        )
        return server.Server(self.loop, address, rules)

    def _own_member(self, state):
        cfg = self._settings
        host, port = cfg.listen
        link = f"{cfg.link_listen[0]}:{cfg.link_listen[1]}"
        return member.Member(
            cfg.name,
            "entry",
            f"{host}:{port}",
            link,
            cfg.region,
            cfg.failure_domain,
            state,
            f"{cfg.peer_listen[0]}:{cfg.peer_listen[1]}",
        )

    def _parents(self, cfg):
        own = self._own_member("live")
        control = {f"{host}:{port}" for host, port in self._control}
        control |= {peer.link_address for peer in cfg.members.values() if peer.role == "control"}
        candidates = tree.parent_candidates(own, cfg.members.values(), sorted(control))
        return [(host, int(port)) for host, port in (address.split(":") for address in candidates)]

    def use_control(self, control: tuple[tuple[str, int], ...]) -> None:
        """Replace the initial addresses of control replicas."""
        if control != self._control:
            self._control = control
            self._uplink.search_anew()

    def _report(self):
        cfg = self._uplink.configuration
        return distribution.StatusReport(
            self._settings.name,
            cfg.version,
            cfg.index,
            self._state,
            self._since_s,
            len(self.core.in_progress),
        )

    def _on_config(self, cfg):
        self._relay.on_config(cfg)
        self.loop.call_soon(self._configure_latest)

    def _configure_latest(self):
        """Apply the latest configuration, one for all that arrived while the loop was busy."""
        cfg = self._uplink.configuration
        if not self.core.is_confirmed or cfg is not self.core.cfg_in_force:
            self.core.configure(cfg)

    def _call_control(self, change, timeout_s):
        try:
            self._uplink.call(change, timeout_s)
        except errors.DistributionError as exc:
            log.notable("control-call-failed", call=type(change).__name__, reason=str(exc))

    def _register_if_needed(self):
        """Register the entry with control if its record there is missing or outdated."""
        own = self._own_member(self._state)
        registered = self._uplink.configuration.members.get(own.name)
        if self._registering or not self.core.is_confirmed or registered == own:
            return
        self._registering = True

        def register():
            try:
                self._call_control(changes.SetMember(own), REGISTER_TIMEOUT_S)
            finally:
                self._registering = False

        self._control_calls.submit(register)

    def _handle_request(self, exchange):
        if exchange.request.path == self._dialect.ready_path:
            self._handle_ready(exchange)
        elif self._refuses_requests:
            headers = ((b"retry-after", b"%.2f" % flow.STOPPING_RETRY_AFTER_S),)
            exchange.reply(messages.Response(503, headers, b"stopping\n", closes=True))
        else:
            flow.Flow(self.core, exchange).start()

    def _handle_delegated(self, exchange):
        delegated_flow.handle(self.core, exchange, self._is_leaving)

    def _peer_limits(self):
        limits = self.core.limits
        return dataclasses.replace(
            limits, head_bytes=limits.head_bytes + delegation.MAX_ORDER_BYTES
        )

    def _handle_lookup(self, exchange):
        query = self._lookups.question(exchange.request)
        if query is None:
            exchange.reply(messages.Response(404, (), b"no such call\n"))
            return
        self.core.metrics.count("lookups")
        leaving = frozenset((self._settings.name,)) if self._is_leaving() else frozenset()
        entries = []
        if self.core.is_confirmed:
            entries = entry_choice.choose(self._uplink.configuration, *query, leaving)
        exchange.reply(self._lookups.answer(entries))

    def _handle_ready(self, exchange):
        ready = self.core.is_ready and self._state == "live"
        body = b"ready\n" if ready else b"not ready\n"
        exchange.reply(messages.Response(200 if ready else 503, (), body))

    def _handle_metrics(self, exchange):
        now = clock.monotonic_s()
        doubts = self.core.restarts.counts(now)
        age_s = self._uplink.control_age_s(now)
        gauges = {
            "routes_revision": self.core.revision,
            "control_age_seconds": -1.0 if age_s is None else round(age_s, 3),
            "requests_in_flight": len(self.core.in_progress),
            "endpoints": len(self.core.chooser.views),
            "endpoints_ejected": self.core.chooser.ejected_count(),
            "services_cut_off": len(self.core.connectivity.cut_off_services()),
            "endpoints_limited": self.core.chooser.limits.limited_count(now),
            "endpoints_in_doubt": doubts[restarts.State.IN_DOUBT]
            + doubts[restarts.State.UNCHECKED],
            "endpoints_cold": doubts[restarts.State.ASSUMED_COLD] + doubts[restarts.State.COLD],
            "informed": int(self.core.restarts.is_informed(now)),
            "entries_cut_off": len(self.core.cut_off_entries(now)),
            "entries": self.core.chooser.entry_count(now),
            "connections": len(self._servers[0]),
            "endpoint_connections_opened": self.core.pool.opened,
            "gossip_sent": self.core.gossip.sent,
            "gossip_received": self.core.gossip.received,
            "gossip_unreadable": self.core.gossip.unreadable,
        }
        body = self.core.metrics.text(gauges).encode()
        exchange.reply(messages.Response(200, ((b"content-type", b"text/plain"),), body))

    def _on_malformed(self, status, text):
        self.core.metrics.count("malformed")
        log.notable("malformed", status=status, reason=text)

    def _is_leaving(self):
        return self._state == "leaving"

    def run(self) -> None:
        """Serve until the shutdown is complete."""
        cfg = self._settings
        self._relay.start(cfg.link_listen)
        self._uplink.start()
        log.notable("started", name=cfg.name, address=cfg.listen[0], domain=cfg.failure_domain)
        self.loop.run()
        self._crash_reports.stop()
        log.notable("stopped", name=cfg.name)

    def leave(self) -> None:
        """Start a graceful shutdown; must be called in the loop's thread."""
        if self._state == "leaving":
            return
        log.notable("stopping", name=self._settings.name, in_flight=len(self.core.in_progress))
        self._state = "leaving"
        self._uplink.send_report()
        now, grace_s = clock.monotonic_s(), self._settings.grace_s
        self.loop.call_at(now + ACCEPT_RATIO * grace_s, self._stop_accepting)
        self.core.stop_deadline_s = now + STOP_RATIO * grace_s
        self.loop.call_at(self.core.stop_deadline_s - LAST_ANSWERS_S, self.core.end_requests)

    def _stop_accepting(self):
        self._refuses_requests = True
        for http_server in self._servers:
            http_server.stop_listening()
            http_server.close_idle()
        shutdown.stop_when_idle(self.loop, self._is_idle, self.core.stop_deadline_s)

    def _is_idle(self):
        is_busy = any(http_server.busy for http_server in self._servers)
        return not self.core.in_progress and not is_busy
