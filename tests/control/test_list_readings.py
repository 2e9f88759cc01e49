"""A reading of the instance list counts only for the leader that made it, and only while new."""

import concurrent.futures
import threading
import time
import types

import pytest

from oriolelock.control import (
    call_router,
    instance_list,
    instance_monitor,
    instance_poller,
    unavailable,
)
from oriolelock.distribution import messages, reports
from oriolelock.model import configuration
from tests import waiting
from tests.dispatch import builders

POLL_S = 0.01


class FakeReplica:
    """``status`` and ``configuration`` of a replica that leads; records the changes proposed."""

    def __init__(self):
        self.is_leader, self.term, self.is_caught_up = True, 7, True
        self.proposed = []

    def status(self):
        return types.SimpleNamespace(
            is_leader=self.is_leader, term=self.term, is_caught_up=self.is_caught_up, voter=True
        )

    def configuration(self):
        return configuration.EMPTY

    def member_names(self):
        return ("c1",)

    def propose(self, group, change):
        self.proposed.append(change)
        fut = concurrent.futures.Future()
        fut.set_result(None)
        return fut


def play(replica, during_reading, clock_s, monkeypatch):
    """Return after two readings; ``during_reading(replica)`` runs during the first."""
    monkeypatch.setattr(instance_monitor.clock, "monotonic_s", lambda: clock_s[0])
    readings, done = [], threading.Event()

    def read():
        readings.append(None)
        # The next reading is due.
        clock_s[0] += 2 * POLL_S
        if len(readings) == 1:
            asked_s = clock_s[0]
            during_reading(replica)
            return [instance_list.Page({"gone": builders.make_endpoint("gone")}, asked_s)]
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
        clock_s[0] += instance_poller.MAX_PAGE_AGE_S + 1.0

    play(replica, pause, clock_s, monkeypatch)
    assert replica.proposed == []


def test_reading_of_the_leader_is_applied(monkeypatch):
    replica = FakeReplica()
    play(replica, lambda _: None, [100.0], monkeypatch)
    assert [change.endpoint.name for change in replica.proposed] == ["gone"]


def test_leader_that_has_not_applied_its_log_proposes_nothing(monkeypatch):
    """It would undo what entries of its log have done."""
    replica = FakeReplica()
    replica.is_caught_up = False
    readings = []
    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=POLL_S, name="c1")
    monitor = instance_monitor.InstanceMonitor(
        cfg, replica, reports.Reports(), lambda: None, lambda: readings.append(None) or ()
    )
    monitor._threads[-1].start()
    threading.Event().wait(10 * POLL_S)
    assert readings == []
    replica.is_caught_up = True
    waiting.until(lambda: readings)
    monitor.stop()


@pytest.mark.parametrize("lag_s", [0.0, 6.0])
def test_a_leader_that_was_paused_judges_no_entries(lag_s, monkeypatch):
    """To it, entries that went on reporting are silent."""
    replica = FakeReplica()
    names = ("silent", "a", "b", "c")
    replica.configuration = lambda: builders.configure([], entries=names)
    replica.broadcast = lambda msg: None
    clock_s = [90.0]
    monkeypatch.setattr(instance_monitor.clock, "monotonic_s", lambda: clock_s[0])
    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=POLL_S, name="c1")
    monitor = instance_monitor.InstanceMonitor(cfg, replica, reports.Reports(), lambda: None, dict)

    def report(name):
        sent = messages.StatusReport(name, 1, 1, "live", 0.0, 0)
        monitor.take_local(messages.StatusBatch((sent,)))

    report("silent")
    monitor.record_confirmed(90.0)
    for at_s in range(91, 101):
        clock_s[0] = float(at_s)
        monitor.record_confirmed(float(at_s))
        for name in names[1:]:
            report(name)
        # Pauses begin before the silence is long enough.
        monitor.lag_s = lambda at_s=at_s: lag_s if at_s > 92 else 0.0
        monitor._run_status_round(float(at_s))
    judged = {change.member.name for change in replica.proposed}
    assert judged == (set() if lag_s else {"silent"})


class Host:
    """The group of a replica that loses its leadership: proposals get no result, then a refusal."""

    def __init__(self, replica):
        self._replica = replica
        self.unanswered = []

    def status(self):
        is_leader = self._replica.is_leader
        return types.SimpleNamespace(leader="c1" if is_leader else "c2", term=3 + (not is_leader))

    def propose(self, payload):
        self.unanswered.append(concurrent.futures.Future())
        return self.unanswered[-1]


def test_change_of_a_former_leader_is_not_sent_to_the_next(monkeypatch):
    """It would undo what the next leader has read since, such as that an endpoint leaves."""
    replica, sent = FakeReplica(), []
    group_host = Host(replica)
    monkeypatch.setattr(call_router, "RETRY_DELAY_S", 0.0)
    router = call_router.CallRouter(
        "c1", {"config": group_host}, lambda target, msg: sent.append((target, msg)) or True
    )
    router.start()
    replica.call = router.call
    replica.propose = lambda group, change: group_host.propose(change)
    page = instance_list.Page({"x": builders.make_endpoint("x")}, time.monotonic())
    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=60.0, name="c1")
    monitor = instance_monitor.InstanceMonitor(
        cfg, replica, reports.Reports(), lambda: None, lambda: [page]
    )
    monitor._threads[-1].start()
    waiting.until(lambda: group_host.unanswered)
    replica.is_leader = False
    group_host.unanswered[0].set_result(unavailable.Unavailable("leadership was lost", retry=True))
    threading.Event().wait(0.3)
    monitor.stop()
    router.stop()
    assert sent == []


def test_a_new_leader_waits_for_entries_that_lost_their_parent(monkeypatch):
    """Guards against living entries that are set down as their parent was the last leader."""
    replica = FakeReplica()
    replica.configuration = lambda: builders.configure([], entries=("silent", "a", "b", "c"))
    replica.broadcast = lambda msg: None
    replica.is_leader = False
    clock_s = [90.0]
    monkeypatch.setattr(instance_monitor.clock, "monotonic_s", lambda: clock_s[0])
    cfg = types.SimpleNamespace(instance_list="", instance_poll_s=POLL_S, name="c1")
    monitor = instance_monitor.InstanceMonitor(cfg, replica, reports.Reports(), lambda: None, dict)

    def report(*names):
        sent = tuple(messages.StatusReport(n, 1, 1, "live", 0.0, 0) for n in names)
        monitor.take_local(messages.StatusBatch(sent))

    def run(until_s):
        while clock_s[0] < until_s:
            clock_s[0] += 0.25
            monitor.record_confirmed(clock_s[0])
            report("a", "b", "c")
            monitor._run_status_round(clock_s[0])

    report("silent")
    run(94.0)
    replica.is_leader = True
    run(94.0 + instance_monitor.SETTLE_S)
    assert replica.proposed == []
    run(94.5 + instance_monitor.SETTLE_S)
    assert {change.member.name for change in replica.proposed} == {"silent"}
