"""
oriolelock.distribution.relay
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Makes an entry the parent of other entries: forwards deltas to them, and their reports and
    calls to its own parent.
"""

import collections.abc
import concurrent.futures
import threading

from oriolelock import clock
from oriolelock.distribution import errors, messages, publisher, reports, tree, uplink
from oriolelock.model import configuration
from oriolelock.wire import channel

__all__ = ["Relay"]

CALL_WORKERS = 32
# Longer than the limit in control, so that its error reply arrives before a timeout here.
CALL_TIMEOUT_S = 4.5
THREAD_NAME = "relay"


class Relay:
    """Serves child entries at one address from the uplink's configuration; thread-safe."""

    def __init__(
        self,
        name: str,
        cluster: str,
        token: str,
        parent: uplink.Uplink,
        count: collections.abc.Callable[[str], None] = lambda metric: None,
    ):
        self._count = count
        self._name = name
        self._cluster = cluster
        self._token = token
        self._uplink = parent
        self._reports = reports.Reports()
        self._config_changed = threading.Condition()
        self._executor = concurrent.futures.ThreadPoolExecutor(CALL_WORKERS, THREAD_NAME)
        self._publisher = publisher.Publisher(self._make_source(), tree.MAX_CHILDREN)
        parent.on_confirmed = self._publisher.pass_on
        self._server = None

    def _make_source(self):
        return publisher.Source(
            index=lambda: self._uplink.recent.view().index,
            changes_since=self._uplink.recent.since,
            confirm=lambda timeout_s: self._executor.submit(self._confirm, timeout_s),
            call=lambda payload: self._executor.submit(self._call, payload),
            take_reports=lambda batch: self._reports.take(batch, clock.monotonic_s(), relay=True),
            is_relay=True,
        )

    def start(self, address: tuple[str, int]) -> None:
        """Listen at ``address``; raises OSError when the port is taken."""
        self._server = channel.serve(address, self._serve)
        threading.Thread(target=self._server.serve_forever, name=THREAD_NAME, daemon=True).start()
        self._publisher.start()

    def stop(self) -> None:
        """Stop listening and close the connections of all children."""
        if self._server:
            self._publisher.stop()
            self._server.shutdown()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def on_config(self, cfg: configuration.Configuration) -> None:
        """Publish the changed configuration to the children."""
        with self._config_changed:
            self._config_changed.notify_all()
        self._publisher.wake()

    def take_new_reports(self) -> tuple[messages.StatusReport, ...]:
        """Return the reports of descendants that have arrived since the last call."""
        return self._reports.take_unrelayed(clock.monotonic_s()).reports

    def children(self) -> list[str]:
        """Return the names of the entries that subscribe to this one."""
        return self._publisher.subscriber_names()

    def _serve(self, conn):
        accepted = channel.accept(conn, self._name, self._cluster, self._token, self._count)
        if accepted is not None:
            self._publisher.serve(accepted)

    def _confirm(self, timeout_s):
        """Return whether this entry has the leader's current configuration within the timeout.

        The parent's last confirmation is not enough: a child that restarts may have served a
        change that was committed after it.
        """
        deadline_s = clock.monotonic_s() + timeout_s
        try:
            reply = self._uplink.call(messages.ConfirmIndex(), timeout_s)
        except errors.DistributionError:
            return False
        with self._config_changed:
            while self._uplink.recent.view().index < reply.index:
                left_s = deadline_s - clock.monotonic_s()
                if left_s <= 0:
                    return False
                self._config_changed.wait(left_s)
        return True

    def _call(self, payload):
        try:
            return self._uplink.call(payload, CALL_TIMEOUT_S), ""
        except errors.DistributionError as exc:
            return None, str(exc)
