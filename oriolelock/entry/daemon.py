"""
oriolelock.entry.daemon
~~~~~~~~~~~~~~~~~~~~~~~

    Assembles the components of an entry, and starts and stops them.
"""

import random
import threading
import uuid

from oriolelock import clock, logs, metrics, outcomes
from oriolelock.distribution import messages, relay, stored_copy, tree, uplink
from oriolelock.endpoints import pool
from oriolelock.entry import (
    app,
    background,
    connection_limits,
    flow,
    http_server,
    reply,
    steering,
)
from oriolelock.model import member
from oriolelock.once import client
from oriolelock.settings import entry as entry_settings
from oriolelock.wire import hello

__all__ = ["Entry"]

SWEEP_INTERVAL_S = 5.0
DRAIN_POLL_S = 0.02
# Longer than a move to another parent takes.
MAX_CONTROL_AGE_S = 4.0

log = logs.get_logger("entry")


class Entry:
    """One entry. ``start`` binds the port and returns; ``stop`` finishes requests in flight."""

    def __init__(self, cfg: entry_settings.EntrySettings):
        self._settings = cfg
        self._incarnation = uuid.uuid4().hex
        self._lock = threading.Lock()
        self._in_flight = 0
        self._state = "live"
        self._status_since_s = clock.wall_s()
        self._entry_count = 1
        self._is_stopping = False
        self._stopped = threading.Event()
        host, port = cfg.statsd or (None, 0)
        self.counters = metrics.Metrics(host, port)
        self.steering = steering.Steering(
            cfg.name, cfg.region, cfg.threads, cfg.worker_slots, random.Random(), cfg.picker
        )
        self._background = background.Background(self.steering)
        self.uplink = self._make_uplink()
        self._background.link = self.uplink
        self._relay = relay.Relay(
            cfg.name, cfg.cluster, cfg.cluster_token, self.uplink, self.counters.count
        )
        self.pool = pool.Pool(
            lambda target: connection_limits.connection_limit(self._entry_count, target),
            on_restart=self.steering.restarted,
        )
        self.once = client.Client(cfg.name, self.uplink.call, self._is_cut_off)
        self._server: http_server.Server | None = None
        self._threads: list[threading.Thread] = []

    def _make_uplink(self):
        cfg = self._settings
        greeting = hello.Hello(
            hello.PROTOCOL_VERSION,
            cfg.cluster,
            cfg.cluster_token,
            cfg.name,
            "entry",
            self._incarnation,
        )
        store = stored_copy.StoredCopy(cfg.data_folder) if cfg.data_folder else None
        return uplink.Uplink(
            self._parents,
            greeting,
            self._make_report,
            store,
            self._on_config,
            descendant_reports=lambda: self._relay.take_new_reports(),
        )

    def _parents(self, cfg):
        settings = self._settings
        own = member.Member(
            settings.name, "entry", "", "", settings.region, settings.failure_domain
        )
        control = {f"{host}:{port}" for host, port in settings.control}
        # Those of an instance list are left out: the settings may name the way to them.
        peers = cfg.members.values()
        control |= {peer.link_address for peer in peers if member.is_registered_replica(peer)}
        addresses = tree.parent_candidates(own, peers, sorted(control))
        return [(host, int(port)) for host, port in (a.split(":") for a in addresses)]

    def _on_config(self, cfg):
        self._relay.on_config(cfg)
        self._status_since_s = clock.wall_s()
        self._entry_count = connection_limits.count_entries(cfg)
        self._background.on_config(cfg)
        log.info("configuration index {} version {} in use", cfg.index, cfg.version)

    def _is_cut_off(self):
        age_s = self.uplink.control_age_s(clock.monotonic_s())
        return age_s is None or age_s > MAX_CONTROL_AGE_S

    def _make_report(self):
        if not self.uplink.is_ready:
            # Control would show a version below the last one, and would count an entry that still
            # refuses callers as live, so that lookups would return it.
            return None
        cfg = self.uplink.configuration
        return messages.StatusReport(
            self._settings.name,
            cfg.version,
            cfg.index,
            self._state,
            self._status_since_s,
            self.in_flight,
        )

    @property
    def is_serving(self) -> bool:
        """False once the server has stopped, on request or after an error."""
        return self._threads[0].is_alive()

    @property
    def in_flight(self) -> int:
        """The number of requests in progress."""
        return self._in_flight

    def _add_in_flight(self, change):
        with self._lock:
            self._in_flight += change

    @property
    def address(self) -> tuple[str, int]:
        """The address that callers connect to, with the port that was actually bound."""
        return self._server.bind_addr

    def start(self) -> None:
        """Connect to control and serve callers; raises OSError when the port is taken."""
        cfg = self._settings
        request_flow = flow.Flow(
            lambda: self.uplink.configuration,
            lambda: self.uplink.is_ready,
            self.pool,
            self.once,
            self.steering,
            self.counters,
            self._background.report_crash,
        )
        self._server = http_server.make(
            cfg.listen,
            app.make_app(self._make_deps(request_flow)),
            cfg.threads,
            cfg.max_headers,
            cfg.max_body,
            cfg.drain_timeout_s,
            self._make_refusal_headers,
            self._count_refusal,
        )
        self.uplink.start()
        self._background.start()
        if cfg.link_listen:
            self._relay.start(cfg.link_listen)
        for target in (self._server.serve, self._sweep_pool):
            thread = threading.Thread(target=target, daemon=True)
            thread.start()
            self._threads.append(thread)
        log.info("serving callers at {}:{}", *self.address)

    def _make_deps(self, request_flow):
        return app.AppDependencies(
            serve=request_flow,
            config=lambda: self.uplink.configuration,
            is_ready=lambda: self.uplink.is_ready,
            is_stopping=lambda: self._is_stopping,
            leaving=lambda: frozenset([self._settings.name] if self._state == "leaving" else []),
            in_flight=self._add_in_flight,
            state=self.dump,
            directory=lambda: self._background.directory,
            region_of=self._background.region_of,
            counters=self.counters,
            region=self._settings.region,
            lookup_ttl_s=self._settings.lookup_ttl_s,
            max_body=self._settings.max_body,
        )

    def _make_refusal_headers(self, reason):
        not_run_reply = reply.Reply(
            outcomes.NotRun(reason), uuid.uuid4().hex, self.uplink.configuration.version
        )
        headers = reply.outcome_headers(not_run_reply)
        is_ready = self.uplink.is_ready
        return [(k, v) for k, v in headers if is_ready or k != reply.VERSION_HEADER]

    def _count_refusal(self, reason):
        self.counters.count("request.not_run")
        self.counters.count("request.bad")

    def _sweep_pool(self):
        while not self._stopped.wait(SWEEP_INTERVAL_S):
            cfg = self.uplink.configuration
            self.pool.sweep(clock.monotonic_s(), {e.address for e in cfg.endpoints.values()})

    def dump(self) -> dict:
        """Return the state for operators, without secrets."""
        cfg = self.uplink.configuration
        parent = self.uplink.parent
        return {
            "name": self._settings.name,
            "region": self._settings.region,
            "failure_domain": self._settings.failure_domain,
            "state": self._state,
            "ready": self.uplink.is_ready,
            "index": cfg.index,
            "version": cfg.version,
            "in_force": cfg.in_force,
            "parent": f"{parent[0]}:{parent[1]}" if parent else None,
            "children": self._relay.children(),
            "control_bytes": dict(zip(("received", "sent"), self.uplink.traffic(), strict=True)),
            "control_age_s": self.uplink.control_age_s(clock.monotonic_s()),
            "in_flight": self.in_flight,
            "connections": {a: list(c) for a, c in self.pool.counts().items()},
            "steering": self.steering.dump(),
            "metrics": self.counters.dump(),
        }

    def leave(self, aborted: threading.Event | None = None) -> None:
        """Announce leaving and keep serving until lookups no longer return this entry.

        Returns early when ``aborted`` is set.
        """
        self._state = "leaving"
        self._status_since_s = clock.wall_s()
        self._server.is_leaving = True
        self.uplink.send_report()
        wait_s = self._settings.lookup_ttl_s + self._settings.leave_lag_s
        log.info("leaving; serving for another {:.1f} s", wait_s)
        (aborted or threading.Event()).wait(wait_s)

    def stop(self) -> bool:
        """Refuse new requests, finish those in flight and close.

        Returns False if requests were still in flight after the drain timeout.
        """
        self._is_stopping = True
        self._server.is_leaving = True
        deadline_s = clock.monotonic_s() + self._settings.drain_timeout_s
        while self.in_flight and clock.monotonic_s() < deadline_s:
            self._stopped.wait(DRAIN_POLL_S)
        drained = self.in_flight == 0
        self._stopped.set()
        self._server.stop()
        self.once.close()
        self.pool.close()
        self._background.stop()
        self._relay.stop()
        self.uplink.stop()
        for thread in self._threads:
            thread.join()
        log.info("stopped; requests in flight: {}", self.in_flight)
        return drained
