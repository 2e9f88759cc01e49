"""
oriolelock.gateway.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~

    The parts of one entry for routes, put together; start, leave, stop.
"""

import concurrent.futures
import random
import types
import uuid

from oriolelock import clock, events
from oriolelock.distribution import errors, relay, tree, uplink
from oriolelock.distribution import messages as distribution
from oriolelock.gateway import core, flow
from oriolelock.gateway import dialect as dialects
from oriolelock.http1 import loop as loops
from oriolelock.http1 import messages, server, server_rules
from oriolelock.lookup import entry_choice
from oriolelock.model import changes, member, request_limits
from oriolelock.settings import gateway as settings
from oriolelock.wire import hello

__all__ = ["Gateway"]

REGISTER_INTERVAL_S = 0.3
REGISTER_TIMEOUT_S = 2.0
CRASH_TIMEOUT_S = 0.9
# Parts of the time from SIGTERM to the end: callers' lists of entries are renewed, new requests
# are refused, what is under way is finished.
ACCEPT_PART = 0.25
LAST_PART = 0.88
STOP_STEP_S = 0.05

log = events.Events("gateway")


class Gateway:
    """One entry; ``run`` serves until ``leave`` has finished what is under way.

    ``lookups`` has ``question(req)`` and ``answer(members)`` for callers that ask which entries
    to use.
    """

    def __init__(
        self, cfg: settings.GatewaySettings, words: dialects.Dialect, lookups: types.ModuleType
    ):
        self._settings = cfg
        self._words = words
        self._state = "live"
        self._since_s = clock.wall_s()
        self._refuses = False
        self.loop = loops.Loop()
        self._calls = concurrent.futures.ThreadPoolExecutor(1, "control-call")
        self._registering = False
        self.core = core.Core(cfg, self.loop, words, self._report_crash, random.Random())
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
            reports_below=lambda: self._relay.fresh_reports(),
        )
        self._relay = relay.Relay(cfg.name, cfg.cluster, cfg.cluster_token, self._uplink)
        self._servers = [self._serve(cfg.listen, self._handle, lambda: self.core.limits)]
        fixed = request_limits.RequestLimits()
        self._lookups = lookups
        self._serve(cfg.ready_listen, self._handle_ready, lambda: fixed)
        if cfg.lookup_listen:
            self._serve(cfg.lookup_listen, self._handle_lookup, lambda: fixed)
        if cfg.metrics_listen:
            self._serve(cfg.metrics_listen, self._handle_metrics, lambda: fixed)
        self.loop.call_each(REGISTER_INTERVAL_S, self._register_if_needed)

    def _serve(self, address, handle, limits):
        rules = server_rules.ServerRules(handle, limits, self._refused, self._is_leaving)
        return server.Server(self.loop, address, rules)

    def _own_member(self, state):
        cfg = self._settings
        host, port = cfg.listen
        link = f"{cfg.link_listen[0]}:{cfg.link_listen[1]}"
        return member.Member(
            cfg.name, "entry", f"{host}:{port}", link, cfg.region, cfg.failure_domain, state
        )

    def _parents(self, cfg):
        own = self._own_member("live")
        control = {f"{host}:{port}" for host, port in self._control}
        control |= {m.link_address for m in cfg.members.values() if m.role == "control"}
        found = tree.candidates(own, cfg.members.values(), sorted(control))
        return [(host, int(port)) for host, port in (a.split(":") for a in found)]

    def use_control(self, control: tuple[tuple[str, int], ...]) -> None:
        """Use other addresses of control replicas to start from."""
        self._control = control

    def _report(self):
        cfg = self._uplink.configuration
        return distribution.StatusReport(
            self._settings.name,
            cfg.version,
            cfg.index,
            self._state,
            self._since_s,
            self.core.metrics.in_flight,
        )

    def _on_config(self, cfg):
        self._relay.on_config(cfg)
        self.loop.call_soon(lambda: self.core.configure(cfg))

    def _report_crash(self, mark, endpoint):
        change = changes.ReportCrash(mark, endpoint)
        self._calls.submit(self._call, change, CRASH_TIMEOUT_S)

    def _call(self, change, timeout_s):
        try:
            self._uplink.call(change, timeout_s)
        except errors.DistributionError as exc:
            log.notable("control-call-failed", call=type(change).__name__, reason=str(exc))

    def _register_if_needed(self):
        """Make the entry known to control when its record there is absent or wrong."""
        own = self._own_member(self._state)
        known = self._uplink.configuration.members.get(own.name)
        if self._registering or not self.core.is_confirmed or known == own:
            return
        self._registering = True

        def register():
            try:
                self._call(changes.SetMember(own), REGISTER_TIMEOUT_S)
            finally:
                self._registering = False

        self._calls.submit(register)

    def _handle(self, exchange):
        if exchange.request.path == self._words.ready_path:
            self._handle_ready(exchange)
        elif self._refuses:
            headers = ((b"retry-after", b"0.05"),)
            exchange.reply(messages.Response(503, headers, b"stopping\n", closes=True))
        else:
            flow.Flow(self.core, exchange).start()

    def _handle_lookup(self, exchange):
        asked = self._lookups.question(exchange.request)
        if asked is None:
            exchange.reply(messages.Response(404, (), b"no such call\n"))
            return
        self.core.metrics.count("lookups")
        leaving = frozenset((self._settings.name,)) if self._is_leaving() else frozenset()
        found = []
        if self.core.is_confirmed:
            found = entry_choice.choose(self._uplink.configuration, *asked, leaving)
        exchange.reply(self._lookups.answer(found))

    def _handle_ready(self, exchange):
        ready = self.core.is_ready and self._state == "live"
        body = b"ready\n" if ready else b"not ready\n"
        exchange.reply(messages.Response(200 if ready else 503, (), body))

    def _handle_metrics(self, exchange):
        age_s = self._uplink.control_age_s(clock.monotonic_s())
        gauges = {
            "routes_revision": self.core.revision,
            "control_age_seconds": -1.0 if age_s is None else round(age_s, 3),
            "endpoints": len(self.core.chooser.views),
            "entries": self.core.chooser.entry_count,
            "connections": len(self._servers[0]),
            "endpoint_connections_opened": self.core.pool.opened,
            "gossip_sent": self.core.gossip.sent,
            "gossip_received": self.core.gossip.received,
            "gossip_unreadable": self.core.gossip.unreadable,
        }
        body = self.core.metrics.text(gauges).encode()
        exchange.reply(messages.Response(200, ((b"content-type", b"text/plain"),), body))

    def _refused(self, status, text):
        self.core.metrics.count("malformed")
        log.notable("malformed", status=status, reason=text)

    def _is_leaving(self):
        return self._state == "leaving"

    def run(self) -> None:
        """Serve until the end of a stop."""
        cfg = self._settings
        self._relay.start(cfg.link_listen)
        self._uplink.start()
        log.notable("started", name=cfg.name, address=cfg.listen[0], domain=cfg.failure_domain)
        self.loop.run()
        log.notable("stopped", name=cfg.name)

    def leave(self) -> None:
        """Begin to stop; call in the loop's thread."""
        if self._state == "leaving":
            return
        log.notable("stopping", name=self._settings.name, in_flight=self.core.metrics.in_flight)
        self._state = "leaving"
        self._uplink.send_report()
        now, grace_s = clock.monotonic_s(), self._settings.grace_s
        self.loop.call_at(now + ACCEPT_PART * grace_s, self._stop_accepting)
        self._end_s = now + LAST_PART * grace_s

    def _stop_accepting(self):
        self._refuses = True
        self._servers[0].stop_listening()
        self._servers[0].close_idle()
        self._finish()

    def _finish(self):
        idle = not self.core.metrics.in_flight and not self._servers[0].busy
        if idle or clock.monotonic_s() >= self._end_s:
            self.loop.call_later(STOP_STEP_S, self.loop.stop)
        else:
            self.loop.call_later(STOP_STEP_S, self._finish)
