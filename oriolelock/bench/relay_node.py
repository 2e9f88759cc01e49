"""
oriolelock.bench.relay_node
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The parts of an entry that take part in distribution, put together as in an entry.
"""

from oriolelock import clock
from oriolelock.bench import control_stand_in
from oriolelock.distribution import messages, relay, report_schedule, uplink
from oriolelock.wire import hello

__all__ = ["RelayNode"]


class RelayNode:
    """An uplink to ``parent`` and, with ``address``, a relay that listens there.

    ``extra``: reports of entries that stand for those below this one. ``on_config`` as in
    ``uplink.Uplink``.
    """

    def __init__(self, name, parent, address=None, extra=(), on_config=None):
        self._name, self._extra = name, tuple(extra)
        self._on_config = on_config or (lambda cfg: None)
        self._address = address
        self._extra_due_s = 0.0
        greeting = hello.Hello(
            hello.PROTOCOL_VERSION,
            control_stand_in.CLUSTER,
            control_stand_in.TOKEN,
            name,
            "entry",
            name,
        )
        self.uplink = uplink.Uplink(
            lambda cfg: [parent],
            greeting,
            lambda: self._make_report(name),
            on_config=self._take_config,
            descendant_reports=self._reports_below,
        )
        self.relay = relay.Relay(
            name, control_stand_in.CLUSTER, control_stand_in.TOKEN, self.uplink
        )

    def _take_config(self, cfg):
        self.relay.on_config(cfg)
        self._on_config(cfg)

    def _make_report(self, name):
        cfg = self.uplink.configuration
        return messages.StatusReport(name, cfg.version, cfg.index, "live", 1.7e9 + 0.123, 7)

    def _reports_below(self):
        return (*self._take_due_extra(), *self.relay.take_new_reports())

    def _take_due_extra(self):
        """Return the reports of ``extra`` once per interval, as those entries would send them."""
        now = clock.monotonic_s()
        if now < self._extra_due_s:
            return ()
        self._extra_due_s = now + report_schedule.REPORT_INTERVAL_S
        return map(self._make_report, self._extra)

    def start(self) -> None:
        """Connect, and listen when there is an address."""
        if self._address:
            self.relay.start(self._address)
        self.uplink.start()

    def stop(self) -> None:
        """End all connections."""
        self.relay.stop()
        self.uplink.stop()
