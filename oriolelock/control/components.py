"""
oriolelock.control.components
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The components of a control replica apart from its HTTP server: groups, monitor, publisher
    and links.
"""

import collections.abc
import concurrent.futures
import threading

from oriolelock import clock, events, metrics
from oriolelock.control import (
    instance_monitor,
    instance_poller,
    joiner,
    list_news,
    majority,
    messages,
    replica,
    uplink_calls,
)
from oriolelock.distribution import publisher, reports
from oriolelock.settings import control as settings
from oriolelock.wire import channel

__all__ = ["Components"]

log = events.Events("control")


class Components:
    """Creates the components and starts and stops them together.

    ``fail(text)`` ends the process. ``read_instances()`` yields the pages of the platform's list of
    instances; with None the URL in the settings is read.
    """

    def __init__(
        self,
        cfg: settings.ControlSettings,
        fail: collections.abc.Callable,
        counters: metrics.Metrics,
        read_instances: instance_poller.Reader | None = None,
    ):
        self._cfg = cfg
        self.counters = counters
        self.replica = replica.Replica(cfg, fail)
        self.reports = reports.Reports()
        self.instance_monitor = instance_monitor.InstanceMonitor(
            cfg, self.replica, self.reports, self._report_metrics, read_instances
        )
        self.publisher = publisher.Publisher(self._make_publisher_source())
        self.replica.lag_s = self.instance_monitor.lag_s = self._lag_s
        self.instance_monitor.poller.lag_s = self._lag_s
        self.replica.take_reports = self._take_relayed
        self.replica.take_silence = self.instance_monitor.take_silence
        self.replica.listen(self._on_change)
        self._news = self._make_news()
        self._joiner = joiner.Joiner(cfg, self.replica) if cfg.seeds else None
        self._links = channel.serve(cfg.link_listen, self._serve_link)

    def start(self) -> None:
        """Start all components; their threads run until ``stop``."""
        self.replica.start()
        self.publisher.start()
        self.instance_monitor.start()
        if self._joiner:
            self._joiner.start()
        if self._news:
            self._news.start()
        threading.Thread(target=self._links.serve_forever, name="links", daemon=True).start()

    def _make_news(self):
        """Return the datagrams on the instance list, None if the port is taken."""
        cfg, poller = self._cfg, self.instance_monitor.poller
        try:
            news = list_news.ListNews(cfg.link_listen, cfg.cluster_token, poller.record_heard)
        except OSError as exc:
            log.notable("no-list-news", address=cfg.link_listen[0], reason=str(exc))
            return None
        poller.use_news(news)
        return news

    def use_seeds(self, seeds: tuple[tuple[str, int], ...]) -> None:
        """Replace the addresses of the replicas that are asked for admission."""
        if self._joiner:
            self._joiner.use_seeds(seeds)

    def hand_over(self) -> None:
        """Transfer leadership to other replicas, before the HTTP server stops."""
        self.instance_monitor.stop()
        if self._joiner:
            self._joiner.stop()
        self.replica.hand_over()

    def stop(self) -> None:
        """Stop the components that still run after ``hand_over``."""
        self.publisher.stop()
        if self._news:
            self._news.stop()
        self._links.shutdown()
        self.replica.depart()
        self.replica.stop()

    def _lag_s(self):
        return self.publisher.pauses.lag_s(clock.monotonic_s())

    def _take_relayed(self, batch, sender):
        self.instance_monitor.take_relayed(reports.aged(batch, self._lag_s()), sender)

    def _make_publisher_source(self):
        def confirm(timeout_s):
            result, started_s = concurrent.futures.Future(), clock.monotonic_s()

            def answered(read):
                is_confirmed = isinstance(read.result(), messages.Confirmed)
                if is_confirmed:
                    self.instance_monitor.record_confirmed(started_s)
                result.set_result(is_confirmed)

            fut = self.replica.call("config", messages.ConfirmRead(), timeout_s)
            fut.add_done_callback(answered)
            return result

        return publisher.Source(
            index=lambda: self.replica.configuration().index,
            changes_since=self.replica.changes_since,
            confirm=confirm,
            call=lambda payload: uplink_calls.serve(self.replica, payload),
            take_reports=self.instance_monitor.take_local,
        )

    def _report_metrics(self):
        self.counters.gauge("control.index", self.replica.configuration().index)
        self.counters.gauge("control.subscribers", len(self.publisher.subscriber_names()))
        for name, value in majority.make_gauges(self.replica.assess_all()).items():
            self.counters.gauge(f"control.{name}", value)

    def _on_change(self, group):
        if group == "config":
            self.publisher.wake()

    def extra_state(self) -> dict:
        """Return the fields of a state dump that don't come from the replica."""
        return {
            "metrics": self.counters.dump(),
            "subscribers": self.publisher.subscriber_names(),
            "confirmed": self.publisher.confirmed(clock.monotonic_s()),
            "held_back": list(self.instance_monitor.held_back),
        }

    def _serve_link(self, conn):
        cfg = self._cfg
        link = channel.accept(conn, cfg.name, cfg.cluster, cfg.cluster_token, self.counters.count)
        if link is None:
            return
        if link.peer.role == "control":
            self.replica.serve_peer(link)
        else:
            self.publisher.serve(link)
