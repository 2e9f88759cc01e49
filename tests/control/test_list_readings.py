"""A reading of the instance list counts only for the leader that made it, and only while new."""

import threading
import types

import pytest

from oriolelock.control import instance_list, instance_monitor
from oriolelock.distribution import reports
from oriolelock.model import configuration
from tests.dispatch import builders

POLL_S = 0.01


class FakeReplica:
    """``status`` and ``configuration`` of a replica that leads; records the changes proposed."""

    def __init__(self):
        self.is_leader, self.term = True, 7
        self.proposed = []

    def status(self):
        return types.SimpleNamespace(is_leader=self.is_leader, term=self.term)

    def configuration(self):
        return configuration.EMPTY

    def call(self, group, change, timeout_s):
        self.proposed.append(change)
        return types.SimpleNamespace(result=lambda: None)


def play(replica, during_reading, clock_s, monkeypatch):
    """Return after two readings; ``during_reading(replica)`` runs during the first."""
    monkeypatch.setattr(instance_monitor.clock, "monotonic_s", lambda: clock_s[0])
    readings, done = [], threading.Event()

    def read():
        readings.append(None)
        if len(readings) == 1:
            during_reading(replica)
            return {"gone": builders.make_endpoint("gone")}
        done.set()
        raise instance_list.ListUnreadable("no more readings")

    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=POLL_S, name="c1")
    monitor = instance_monitor.InstanceMonitor(cfg, replica, reports.Reports(), lambda: None, read)
    monitor._threads[-1].start()
    assert done.wait(5)
    monitor.stop()


def new_term(replica):
    replica.term += 2


def deposed(replica):
    replica.is_leader = False
    threading.Timer(5 * POLL_S, lambda: setattr(replica, "is_leader", True)).start()


@pytest.mark.parametrize("change_leader", [new_term, deposed])
def test_reading_of_an_earlier_leadership_is_discarded(monkeypatch, change_leader):
    replica = FakeReplica()
    play(replica, change_leader, [100.0], monkeypatch)
    assert replica.proposed == []


def test_reading_of_a_paused_leader_is_discarded(monkeypatch):
    replica, clock_s = FakeReplica(), [100.0]

    def pause(_):
        clock_s[0] += instance_monitor.MAX_READING_AGE_S + 1.0

    play(replica, pause, clock_s, monkeypatch)
    assert replica.proposed == []


def test_reading_of_the_leader_is_applied(monkeypatch):
    replica = FakeReplica()
    play(replica, lambda _: None, [100.0], monkeypatch)
    assert [change.endpoint.name for change in replica.proposed] == ["gone"]
