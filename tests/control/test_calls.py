"""Guards against calls that are sent twice, or that never end."""

import concurrent.futures
import types

import pytest

from oriolelock.control import calls, envelope, messages, unavailable
from oriolelock.model import changes
from tests.control import cluster

TIMEOUT_S = 10.0


class FakeHost:
    """A group; ``leader`` is what this replica believes."""

    def __init__(self):
        self.leader = ""
        self.answers = []
        self.proposed = []

    def status(self):
        return types.SimpleNamespace(leader=self.leader)

    def propose(self, payload):
        self.proposed.append(payload)
        fut = concurrent.futures.Future()
        fut.set_result(self.answers.pop(0))
        return fut

    def wait_applied(self, index, result):
        fut = concurrent.futures.Future()
        if index <= 5:
            fut.set_result(result)
        return fut


class Rig:
    """Calls of the replica c1."""

    def __init__(self):
        self.host = FakeHost()
        self.sent = []
        self.connected = True
        self.calls = calls.Calls("c1", {"config": self.host}, self.send)
        self.calls.start()

    def send(self, target, msg):
        if self.connected:
            self.sent.append((target, msg))
        return self.connected

    def wait_sent(self, count):
        cluster.wait_for(lambda: len(self.sent) >= count, f"{count} forwards")


@pytest.fixture
def rig():
    item = Rig()
    yield item
    item.calls.stop()


def test_call_waits_for_a_leader_and_retries_what_was_not_taken(rig):
    rig.host.answers = [unavailable.Unavailable("not-leader", retry=True), "done"]
    fut = rig.calls.call("config", "x", TIMEOUT_S)
    rig.host.leader = "c1"
    assert fut.result(TIMEOUT_S) == "done"
    assert rig.host.proposed == ["x", "x"]


def test_call_that_may_have_been_taken_is_not_sent_again(rig):
    rig.host.leader = "c2"
    fut = rig.calls.call("config", "x", 0.6)
    assert fut.result(TIMEOUT_S) == unavailable.Unavailable("no result from c2 in time")
    assert len(rig.sent) == 1


def test_change_with_an_id_goes_to_a_new_leader_when_the_old_one_is_frozen(rig):
    change = envelope.OperatorChange("1", None, "", changes.UsePreset("a"))
    rig.host.leader = "c2"
    fut, crash = (
        rig.calls.call("config", payload, timeout_s)
        for payload, timeout_s in ((change, TIMEOUT_S), (changes.ReportCrash("f", "e"), 0.6))
    )
    rig.host.leader = "c3"
    rig.wait_sent(3)
    assert [target for target, _ in rig.sent] == ["c2", "c2", "c3"]
    rig.calls.handle_reply(messages.ForwardReply(rig.sent[2][1].call_id, "done"))
    assert fut.result(TIMEOUT_S) == "done"
    # A crash report has no id and would count twice.
    assert not crash.result(TIMEOUT_S).retry
    assert len(rig.sent) == 3


def test_resent_change_without_a_result_is_not_called_lost(rig):
    change = envelope.OperatorChange("1", None, "", changes.UsePreset("a"))
    rig.host.leader = "c2"
    fut = rig.calls.call("config", change, 0.6)
    rig.connected, rig.host.leader = False, "c3"
    assert fut.result(TIMEOUT_S).retry is False


def test_call_without_a_connection_was_certainly_not_taken(rig):
    rig.host.leader, rig.connected = "c2", False
    result = rig.calls.call("config", "x", 0.3).result(TIMEOUT_S)
    assert result == unavailable.Unavailable("no connection to the leader c2", retry=True)


def test_forward_goes_to_the_new_leader_after_a_refusal(rig):
    rig.host.leader = "c2"
    fut = rig.calls.call("config", "x", TIMEOUT_S)
    refused = unavailable.Unavailable("not-leader", retry=True)
    rig.host.leader = "c3"
    rig.calls.handle_reply(messages.ForwardReply(rig.sent[0][1].call_id, refused))
    rig.wait_sent(2)
    assert [target for target, _ in rig.sent] == ["c2", "c3"]
    rig.calls.handle_reply(messages.ForwardReply(rig.sent[1][1].call_id, "done"))
    assert fut.result(TIMEOUT_S) == "done"


def test_confirmed_read_waits_for_the_own_state(rig):
    rig.host.leader = "c2"
    current = rig.calls.call("config", messages.ConfirmRead(), TIMEOUT_S)
    behind = rig.calls.call("config", messages.ConfirmRead(), 0.3)
    for (_, forward), index in zip(rig.sent, (5, 6), strict=True):
        rig.calls.handle_reply(messages.ForwardReply(forward.call_id, messages.Confirmed(index)))
    assert current.result(TIMEOUT_S) == messages.Confirmed(5)
    assert isinstance(behind.result(TIMEOUT_S), unavailable.Unavailable)


def test_unknown_group_is_refused(rig):
    assert isinstance(rig.calls.call("x", "y", 1.0).result(0), unavailable.Unavailable)
