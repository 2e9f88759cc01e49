"""A parent that a test drives: it keeps subscriptions, reports and calls, and sends on demand."""

import threading
import time

from oriolelock.distribution import messages, report_packing
from oriolelock.model import (
    configuration,
    endpoint,
    member,
    operation,
    preset,
    priority,
    service_policy,
)
from oriolelock.once import messages as once
from oriolelock.wire import channel, errors

CLUSTER, TOKEN = "swan", "secret-token"


def make_preset(name="day", in_flight_limit=50):
    ops = (
        operation.Operation("view", priority.Priority.NORMAL, True, 5000.0),
        operation.Operation("confirm", priority.Priority.URGENT, False, 5000.0),
    )
    policy = service_policy.ServicePolicy("proofs", ops, {}, 100, in_flight_limit)
    return preset.Preset(name, (policy,), {}, 0.1, 1000.0, 0.05, 4000.0, 0.8)


def make_member(name, region="perth", failure_domain="perth-a", state="live"):
    return member.Member(name, "entry", f"10.0.0.1:{len(name)}", "", region, failure_domain, state)


def make_config(index=5, version=2, endpoints=(), members=("a",), **fields):
    fields.setdefault("presets", {"day": make_preset()})
    return configuration.Configuration(
        index=index,
        version=version,
        in_force="day",
        endpoints={e.name: e for e in endpoints},
        members={name: make_member(name) for name in members},
        **fields,
    )


class FakeParent:
    """Confirms its configuration every 0.1 s while ``confirms`` is set."""

    def __init__(self, cfg=None, on_call=lambda payload: once.Granted()):
        self.cfg = cfg
        self.on_call = on_call
        self.confirms = True
        self.subscriptions = []
        self.reports = []
        self.packed = []
        self.calls = []
        self.links = []
        # Links over which a child has subscribed, in this order.
        self.subscribed = []
        self.pings = {}
        self.on_ping = lambda msg: None
        self.changed = threading.Condition()
        self.closing = threading.Event()
        self.server = channel.serve(("127.0.0.1", 0), self.handle)
        self.address = self.server.socket.getsockname()[:2]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def handle(self, conn):
        link = channel.accept(conn, "parent", CLUSTER, TOKEN)
        if link is None:
            return
        with self.changed:
            self.links.append(link)
            self.changed.notify_all()
        try:
            while not self.closing.is_set():
                msg = link.recv(0.1)
                if msg is not None:
                    self.receive(link, msg)
                elif link in self.subscribed and self.cfg is not None and self.confirms:
                    self.confirm(link)
        except errors.WireError:
            return

    def confirm(self, link):
        msg = messages.Delta(self.cfg.index, self.cfg.index, (), True)
        if link in self.pings:
            sent_s, arrived_s = self.pings[link]
            msg = messages.AgedDelta(msg, 0.0, sent_s, time.monotonic() - arrived_s)
        link.send(msg)

    def receive(self, link, msg):
        if isinstance(msg, messages.Ping):
            self.pings[link] = msg.sent_s, time.monotonic()
            self.on_ping(msg)
            return
        kept = {
            messages.Subscribe: self.subscriptions,
            messages.StatusReport: self.reports,
            report_packing.PackedReports: self.packed,
            messages.UplinkCall: self.calls,
        }
        with self.changed:
            kept[type(msg)].append(msg)
            self.changed.notify_all()
        if isinstance(msg, messages.Subscribe):
            self.subscribed.append(link)
        if isinstance(msg, messages.Subscribe) and self.cfg is not None:
            link.send(messages.Snapshot(self.cfg, self.confirms))
        if isinstance(msg, messages.UplinkCall):
            reply = self.on_call(msg.payload)
            if reply is not None:
                link.send(messages.UplinkReply(msg.call_id, reply))

    def send(self, msg):
        self.subscribed[-1].send(msg)

    def wait_for(self, condition, timeout_s=15):
        with self.changed:
            assert self.changed.wait_for(condition, timeout_s)

    def close(self):
        self.closing.set()
        for link in self.links:
            link.close()
        self.server.shutdown()


def dead_endpoint(name, address):
    return endpoint.Endpoint(name, "proofs", address, "perth", "perth-a", 4, 8)
