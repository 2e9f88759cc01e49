"""Guards the distribution through other entries: deltas, replies and honest confirmation."""

import random

import pytest

from oriolelock.distribution import messages, relay, report_packing, uplink
from oriolelock.model import changes, delta
from oriolelock.once import messages as once
from oriolelock.wire import hello
from tests import fake_parent, waiting


def report(name):
    return messages.StatusReport(name, 0, 0, "live", 0.0, 0)


def use(index):
    return delta.CommittedChange(index, 1000.0, changes.UsePreset("day"))


class Rig:
    """control (fake) -> relay -> child."""

    def __init__(self):
        self.confirmed_index = 5
        self.control = fake_parent.FakeParent(fake_parent.make_config(), self.answer)
        self.batches = self.control.reports
        self.relay = None
        self.middle = self.make_uplink(
            "middle",
            [self.control.address],
            lambda: report("middle"),
            reports_below=lambda: self.relay.fresh_reports() if self.relay else (),
        )
        self.relay = relay.Relay("middle", fake_parent.CLUSTER, fake_parent.TOKEN, self.middle)
        self.middle._on_config = self.relay.on_config
        self.relay.start(("127.0.0.1", 0))
        self.address = self.relay._server.socket.getsockname()[:2]
        self.middle.start()
        waiting.until(lambda: self.middle.is_ready)
        self.child = self.make_uplink("child", [self.address], lambda: report("child"))
        self.child.start()

    def make_uplink(self, name, parents, make_report, **options):
        greeting = hello.Hello(1, fake_parent.CLUSTER, fake_parent.TOKEN, name, "entry", "i")
        rng = random.Random(1)
        return uplink.Uplink(lambda cfg: parents, greeting, make_report, rng=rng, **options)

    def names_reported(self):
        """Return the names in the packed reports that control has received."""
        batches = [report_packing.unpack(msg) for msg in self.control.packed]
        return [item.name for batch in batches for item in batch.reports]

    def answer(self, payload):
        if isinstance(payload, messages.ConfirmIndex):
            return messages.ConfirmedIndex(self.confirmed_index)
        return once.Granted()

    def close(self):
        self.child.stop()
        self.relay.stop()
        self.middle.stop()
        self.control.close()


@pytest.fixture
def rig():
    item = Rig()
    yield item
    item.close()


def test_child_gets_snapshot_deltas_and_replies_through_the_relay(rig):
    waiting.until(lambda: rig.child.is_ready)
    rig.control.cfg = fake_parent.make_config(index=6, version=3)
    rig.control.send(messages.Delta(5, 6, (use(6),), True))
    waiting.until(lambda: rig.child.configuration.version == 3)
    claim = once.ClaimKey("1-a", "d", "child", "c", 5.0)
    assert rig.child.call(claim, 5.0) == once.Granted()
    assert rig.control.calls[-1].payload == claim


def test_relay_that_lags_behind_the_leader_confirms_nothing(rig):
    """A restarted entry would otherwise go back behind what it has served."""
    waiting.until(lambda: rig.child.is_ready)
    rig.confirmed_index = 9
    late = rig.make_uplink("late", [rig.address], lambda: report("late"))
    late.start()
    try:
        asked = len(rig.control.calls)
        waiting.until(lambda: len(rig.control.calls) >= asked + 4)
        assert late.configuration.index == 5
        assert not late.is_ready
        rig.control.cfg = fake_parent.make_config(index=9, version=3)
        rig.control.send(messages.Delta(5, 9, (use(9),), True))
        waiting.until(lambda: late.is_ready)
        assert late.configuration.index == 9
    finally:
        late.stop()


def test_reports_of_children_go_up_once(rig, monkeypatch):
    """A report that went up again and again would look fresh after its entry has died."""
    waiting.until(lambda: "child" in rig.names_reported())
    rig.child.stop()
    waiting.until(lambda: not rig.relay.children())
    waiting.until(lambda: not rig.relay._reports._fresh)
    seen = len(rig.control.packed)
    own = len(rig.control.reports)
    waiting.until(lambda: len(rig.control.reports) >= own + 2)
    later = [report_packing.unpack(msg) for msg in rig.control.packed[seen + 1 :]]
    assert not any(item.name == "child" for batch in later for item in batch.reports)


def test_reports_of_children_do_not_wait_for_the_own_report(rig, monkeypatch):
    """With an interval of delay at each of three hops healthy entries counted as silent."""
    waiting.until(lambda: "child" in rig.names_reported())
    monkeypatch.setattr(uplink, "REPORT_INTERVAL_S", 3600.0)
    own = len(rig.control.reports)
    waiting.until(lambda: len(rig.control.reports) > own, what="the last own report")
    seen = len(rig.control.packed)
    rig.child.send_report()
    waiting.until(lambda: "child" in rig.names_reported()[seen:])
