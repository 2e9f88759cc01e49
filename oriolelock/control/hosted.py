"""
oriolelock.control.hosted
~~~~~~~~~~~~~~~~~~~~~~~~~

    A control replica with an HTTP server whose request handler the embedding program supplies.
"""

import collections.abc
import threading

from oriolelock import clock, events, metrics
from oriolelock.control import components, instance_poller, majority, replica, route_operations
from oriolelock.http1 import body_budget, messages, server, server_rules, shutdown
from oriolelock.http1 import loop as loops
from oriolelock.model import request_limits
from oriolelock.settings import control as settings
from oriolelock.storage import store

__all__ = ["Hosted", "form_if_first"]

# A configuration of 20,000 routes has 8 MB, and takes some ten times as much while it is read.
LIMITS = request_limits.RequestLimits(
    head_bytes=32 * 1024, body_bytes=8 * 1024 * 1024, head_ms=5000.0, idle_ms=30_000.0
)
MAX_BODIES_BYTES = 12 * 1024 * 1024
STOP_TIMEOUT_S = 1.0
# Leaves the loop time to end within STOP_TIMEOUT_S.
ANSWER_TIMEOUT_S = 0.8

log = events.Events("control")


class Hosted:
    """One replica and its HTTP servers.

    ``make_handler(self)`` returns the function that answers HTTP exchanges.
    """

    def __init__(
        self,
        cfg: settings.ControlSettings,
        listens: collections.abc.Iterable[tuple[str, int]],
        fail: collections.abc.Callable,
        read_instances: instance_poller.Reader,
        make_handler: collections.abc.Callable[["Hosted"], collections.abc.Callable],
    ):
        self.cfg = cfg
        self._components = components.Components(cfg, fail, metrics.Metrics(None), read_instances)
        self.loop = loops.Loop()
        self.operations = route_operations.RouteOperations(
            self._components.replica, self.loop.call_soon
        )
        handle, bodies = make_handler(self), body_budget.BodyBudget(MAX_BODIES_BYTES)
        self._servers = [
            server.Server(
                self.loop,
                address,
                server_rules.ServerRules(
                    handle, lambda: LIMITS, is_leaving=self._is_leaving, bodies=bodies
                ),
            )
            for address in dict.fromkeys(listens)
        ]
        self._leaving = False
        self._thread = threading.Thread(target=self.loop.run, name="http", daemon=True)

    @property
    def replica(self) -> replica.Replica:
        """The groups of this replica."""
        return self._components.replica

    def _is_leaving(self):
        return self._leaving

    def start(self) -> None:
        """Start all components and the HTTP servers."""
        self._components.start()
        self._thread.start()
        log.notable("started", name=self.cfg.name, region=self.cfg.region)

    def stop(self) -> None:
        """Transfer leadership, then stop all components."""
        log.notable("stopping", name=self.cfg.name)
        self._leaving = True
        self._components.hand_over()
        self.loop.call_soon(self._stop_serving)
        self._thread.join(STOP_TIMEOUT_S)
        self._components.stop()
        log.notable("stopped", name=self.cfg.name)

    def _stop_serving(self):
        for http_server in self._servers:
            http_server.stop_listening()
            http_server.close_idle()
        deadline_s = clock.monotonic_s() + ANSWER_TIMEOUT_S
        shutdown.stop_when_idle(self.loop, self._is_idle, deadline_s)

    def _is_idle(self):
        return not any(http_server.busy for http_server in self._servers)

    def use_seeds(self, seeds: tuple[tuple[str, int], ...]) -> None:
        """Replace the addresses of the replicas that are asked for admission."""
        self._components.use_seeds(seeds)

    def answer_later(self, exchange, fut, encode) -> None:
        """Answer ``exchange`` with ``encode(result)`` once ``fut`` is done."""

        def send_response(completed):
            response = encode(completed.result())
            self.loop.call_soon(lambda: exchange.reply(response))

        fut.add_done_callback(send_response)

    def text(self, body: str, status: int = 200) -> messages.Response:
        """Return a plain text response."""
        return messages.Response(status, ((b"content-type", b"text/plain"),), body.encode())

    def metrics_text(self) -> str:
        """Return the metrics of this replica in the Prometheus text format."""
        status = self.replica.status()
        found = majority.make_gauges(self.replica.assess_all())
        gauges = {
            "control_is_leader": int(status.is_leader),
            "control_term": status.term,
            "control_applied": status.applied,
            "control_replicas": status.replicas,
            "control_disk_full": int(status.disk_full),
            **{f"control_{name}": value for name, value in found.items()},
            "routes_revision": self.replica.configuration().table.revision,
        }
        return "".join(f"oriolelock_{name} {value}\n" for name, value in gauges.items())


def form_if_first(cfg: settings.ControlSettings, is_first_start: bool) -> None:
    """Create the data folders of a seed on the first start of the whole deployment."""
    is_seed = any(f"{host}:{port}" == cfg.name for host, port in cfg.seeds)
    if not is_first_start or not is_seed:
        return
    if store.exists(cfg.data_folder, "config"):
        return
    replica.form(cfg)
