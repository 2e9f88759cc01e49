"""Tests the distribution through a relaying entry: deltas, replies, confirmation and reports."""

import random

import pytest

from oriolelock.distribution import messages, relay, report_packing, report_schedule, uplink
from oriolelock.model import changes, delta
from oriolelock.once import messages as once
from oriolelock.wire import hello
from tests import fake_parent, waiting


def make_status(name):
    return messages.StatusReport(name, 0, 0, "live", 0.0, 0)


def make_change(index):
    return delta.CommittedChange(index, 1000.0, changes.UsePreset("day"))


class RelayRig:
    """A chain of a fake control replica, a relaying entry and its child."""

    def __init__(self):
        self.confirmed_index = 5
        self.control = fake_parent.FakeParent(fake_parent.make_config(), self.reply_to_call)
        self.batches = self.control.reports
        self.relay = None
        self.relay_uplink = self.make_uplink(
            "middle",
            [self.control.address],
            lambda: make_status("middle"),
            descendant_reports=lambda: self.relay.take_new_reports() if self.relay else (),
        )
        self.relay = relay.Relay(
            "middle", fake_parent.CLUSTER, fake_parent.TOKEN, self.relay_uplink
        )
        self.relay_uplink._on_config = self.relay.on_config
        self.relay.start(("127.0.0.1", 0))
        self.address = self.relay._server.socket.getsockname()[:2]
        self.relay_uplink.start()
        waiting.until(lambda: self.relay_uplink.is_ready)
        self.child = self.make_uplink("child", [self.address], lambda: make_status("child"))
        self.child.start()

    def make_uplink(self, name, parents, make_report, **options):
        greeting = hello.Hello(1, fake_parent.CLUSTER, fake_parent.TOKEN, name, "entry", "i")
        rng = random.Random(1)
        return uplink.Uplink(lambda cfg: parents, greeting, make_report, rng=rng, **options)

    def reported_names(self):
        """Return the names in all packed reports that control has received."""
        batches = [report_packing.unpack(msg) for msg in self.control.packed]
        return [item.name for batch in batches for item in batch.reports]

    def reply_to_call(self, payload):
        if isinstance(payload, messages.ConfirmIndex):
            return messages.ConfirmedIndex(self.confirmed_index)
        return once.Granted()

    def close(self):
        self.child.stop()
        self.relay.stop()
        self.relay_uplink.stop()
        self.control.close()


@pytest.fixture
def rig():
    rig = RelayRig()
    yield rig
    rig.close()


def test_child_gets_snapshot_deltas_and_replies_through_the_relay(rig):
    waiting.until(lambda: rig.child.is_ready)
    rig.control.cfg = fake_parent.make_config(index=6, version=3)
    rig.control.send(messages.Delta(5, 6, (make_change(6),), True))
    waiting.until(lambda: rig.child.configuration.version == 3)
    claim = once.ClaimKey("1-a", "d", "child", "c", 5.0)
    assert rig.child.call(claim, 5.0) == once.Granted()
    assert rig.control.calls[-1].payload == claim


def test_relay_that_lags_behind_the_leader_confirms_nothing(rig):
    """Otherwise a restarted entry could return to an older configuration than it has served."""
    waiting.until(lambda: rig.child.is_ready)
    rig.confirmed_index = 9
    late_uplink = rig.make_uplink("late", [rig.address], lambda: make_status("late"))
    late_uplink.start()
    try:
        calls_before = len(rig.control.calls)
        waiting.until(lambda: len(rig.control.calls) >= calls_before + 4)
        assert late_uplink.held_configuration.index == 5
        assert not late_uplink.is_ready
        assert late_uplink.configuration.index == 0
        rig.control.cfg = fake_parent.make_config(index=9, version=3)
        rig.control.send(messages.Delta(5, 9, (make_change(9),), True))
        waiting.until(lambda: late_uplink.is_ready)
        assert late_uplink.configuration.index == 9
    finally:
        late_uplink.stop()


def test_reports_of_children_are_forwarded_once(rig, monkeypatch):
    """A report that is forwarded repeatedly would look fresh after its entry has died."""
    waiting.until(lambda: "child" in rig.reported_names())
    rig.child.stop()
    waiting.until(lambda: not rig.relay.children())
    waiting.until(lambda: not rig.relay._reports._unrelayed)
    packed_before = len(rig.control.packed)
    own_reports_before = len(rig.control.reports)
    waiting.until(lambda: len(rig.control.reports) >= own_reports_before + 2)
    later_batches = [report_packing.unpack(msg) for msg in rig.control.packed[packed_before + 1 :]]
    assert not any(item.name == "child" for batch in later_batches for item in batch.reports)


def test_reports_of_children_do_not_wait_for_the_own_report(rig, monkeypatch):
    """With a delay of one report interval at each of three hops, live entries counted as silent."""
    waiting.until(lambda: "child" in rig.reported_names())
    monkeypatch.setattr(report_schedule, "REPORT_INTERVAL_S", 3600.0)
    own_reports_before = len(rig.control.reports)
    waiting.until(lambda: len(rig.control.reports) > own_reports_before, what="the last own report")
    packed_before = len(rig.control.packed)
    rig.child.send_report()
    waiting.until(lambda: "child" in rig.reported_names()[packed_before:])
