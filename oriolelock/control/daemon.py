"""
oriolelock.control.daemon
~~~~~~~~~~~~~~~~~~~~~~~~~

    Puts the parts of a control replica together.
"""

import collections.abc
import concurrent.futures
import threading

import cheroot.wsgi

from oriolelock import clock, logs, metrics
from oriolelock.control import api, messages, overseer, replica, uplink_calls
from oriolelock.distribution import publisher, reports
from oriolelock.settings import control as settings
from oriolelock.wire import channel

__all__ = ["Daemon"]

HTTP_THREADS = 16
HTTP_TIMEOUT_S = 10
GRACEFUL_STOP_S = 5

log = logs.get_logger("control")


class Daemon:
    """All parts of one replica; ``fail(text)`` ends the process."""

    def __init__(self, cfg: settings.ControlSettings, fail: collections.abc.Callable):
        self._cfg = cfg
        host, port = cfg.statsd or (None, 0)
        self._metrics = metrics.Metrics(host, port)
        self._replica = replica.Replica(cfg, fail)
        self._reports = reports.Reports()
        self._overseer = overseer.Overseer(cfg, self._replica, self._reports, self._report_metrics)
        self._replica.take_reports = self._overseer.take_relayed
        self._publisher = publisher.Publisher(self._make_source())
        self._replica.listen(self._on_change)
        app = api.make_app(api.Api(self._replica, self._metrics, self._reports, self._extra_state))
        self._http = cheroot.wsgi.Server(
            cfg.listen,
            app,
            numthreads=HTTP_THREADS,
            timeout=HTTP_TIMEOUT_S,
            shutdown_timeout=GRACEFUL_STOP_S,
        )
        self._http.max_request_header_size = 64 * 1024
        self._http.max_request_body_size = 2 * api.MAX_BODY_BYTES
        self._links = channel.serve(cfg.link_listen, self._serve_link)

    def start(self) -> None:
        """Start all parts; the threads run until ``stop``."""
        self._http.prepare()
        self._replica.start()
        self._publisher.start()
        self._overseer.start()
        for name, run in (("links", self._links.serve_forever), ("http", self._http.serve)):
            threading.Thread(target=run, name=name, daemon=True).start()
        log.info("Replica {} serves HTTP at {}:{}.", self._cfg.name, *self._cfg.listen)

    def stop(self) -> None:
        """Hand leadership over, then stop: no new requests, then no connections."""
        log.info("Stopping.")
        self._overseer.stop()
        self._replica.hand_over()
        self._http.stop()
        self._publisher.stop()
        self._links.shutdown()
        self._replica.stop()
        log.info("Stopped.")

    def _make_source(self):
        def confirm(timeout_s):
            result = concurrent.futures.Future()
            fut = self._replica.call("config", messages.ConfirmRead(), timeout_s)
            fut.add_done_callback(
                lambda done: result.set_result(isinstance(done.result(), messages.Confirmed))
            )
            return result

        return publisher.Source(
            index=lambda: self._replica.configuration().index,
            changes_since=self._replica.changes_since,
            confirm=confirm,
            call=lambda payload: uplink_calls.serve(self._replica, payload),
            take_reports=self._overseer.take_local,
        )

    def _report_metrics(self):
        self._metrics.gauge("control.index", self._replica.configuration().index)
        self._metrics.gauge("control.subscribers", len(self._publisher.subscriber_names()))

    def _on_change(self, group):
        if group == "config":
            self._publisher.wake()

    def _extra_state(self):
        return {
            "metrics": self._metrics.dump(),
            "subscribers": self._publisher.subscriber_names(),
            "confirmed": self._publisher.confirmed(clock.monotonic_s()),
            "held_back": list(self._overseer.held_back),
        }

    def _serve_link(self, conn):
        cfg = self._cfg
        accepted = channel.accept(
            conn, cfg.name, cfg.cluster, cfg.cluster_token, self._metrics.count
        )
        if accepted is None:
            return
        if accepted.peer.role == "control":
            self._replica.serve_peer(accepted)
        else:
            self._publisher.serve(accepted)
