"""Guards against calls that are applied twice, or whose futures never complete."""

import concurrent.futures
import types

import pytest

from oriolelock.control import call_router, commands, messages, unavailable
from oriolelock.model import changes
from tests.control import cluster

TIMEOUT_S = 10.0


class FakeHost:
    """A group; ``leader`` is the leader that this replica knows."""

    def __init__(self):
        self.leader = ""
        self.term = 1
        self.results = []
        self.proposed = []

    def status(self):
        return types.SimpleNamespace(leader=self.leader, term=self.term)

    def propose(self, payload):
        self.proposed.append(payload)
        fut = concurrent.futures.Future()
        fut.set_result(self.results.pop(0))
        return fut

    def wait_applied(self, index, result):
        fut = concurrent.futures.Future()
        if index <= 5:
            fut.set_result(result)
        return fut


class Harness:
    """The calls of replica c1, with a fake host and fake links."""

    def __init__(self):
        self.host = FakeHost()
        self.sent = []
        self.connected = True
        self.router = call_router.CallRouter("c1", {"config": self.host}, self.send)
        self.router.start()

    def send(self, target, msg):
        if self.connected:
            self.sent.append((target, msg))
        return self.connected

    def wait_sent(self, count):
        cluster.wait_for(lambda: len(self.sent) >= count, f"{count} forwards", TIMEOUT_S)


@pytest.fixture
def harness():
    router_harness = Harness()
    yield router_harness
    router_harness.router.stop()


def test_call_waits_for_a_leader_and_retries_after_a_rejection(harness):
    harness.host.results = [unavailable.Unavailable("not-leader", retry=True), "done"]
    fut = harness.router.call("config", "x", TIMEOUT_S)
    harness.host.leader = "c1"
    assert fut.result(TIMEOUT_S) == "done"
    assert harness.host.proposed == ["x", "x"]


def test_call_without_id_that_may_have_been_accepted_is_not_resent(harness):
    harness.host.leader = "c2"
    fut = harness.router.call("config", "x", 0.6)
    assert fut.result(TIMEOUT_S) == unavailable.Unavailable("no result from c2 in time")
    assert len(harness.sent) == 1


def test_change_with_an_id_is_resent_to_a_new_leader(harness):
    change = commands.OperatorChange("1", None, "", changes.UsePreset("a"))
    harness.host.leader = "c2"
    fut, crash = (
        harness.router.call("config", payload, timeout_s)
        for payload, timeout_s in ((change, TIMEOUT_S), (changes.ReportCrash("f", "e"), 0.6))
    )
    harness.host.leader = "c3"
    harness.wait_sent(3)
    assert [target for target, _ in harness.sent] == ["c2", "c2", "c3"]
    harness.router.handle_reply(messages.ForwardReply(harness.sent[2][1].call_id, "done"))
    assert fut.result(TIMEOUT_S) == "done"
    # A crash report has no id, so the state machine would count a second one.
    assert not crash.result(TIMEOUT_S).retry
    assert len(harness.sent) == 3


def test_read_is_resent_to_a_leader_that_is_elected_again(harness):
    """It was lost with the connection to that leader, which was cut off for a while."""
    harness.host.leader = "c2"
    fut = harness.router.call("config", messages.ConfirmRead(), TIMEOUT_S)
    harness.host.leader = ""
    harness.host.leader, harness.host.term = "c2", 2
    harness.wait_sent(2)
    assert [target for target, _ in harness.sent] == ["c2", "c2"]
    harness.router.handle_reply(
        messages.ForwardReply(harness.sent[1][1].call_id, messages.Confirmed(5))
    )
    assert fut.result(TIMEOUT_S) == messages.Confirmed(5)


def test_reads_of_many_entries_are_forwarded_as_few(harness):
    harness.host.leader = "c2"
    reads = [harness.router.call("config", messages.ConfirmRead(), TIMEOUT_S) for _ in range(200)]
    harness.wait_sent(2)
    for _, msg in harness.sent:
        harness.router.handle_reply(messages.ForwardReply(msg.call_id, messages.Confirmed(5)))
    assert [fut.result(TIMEOUT_S) for fut in reads] == [messages.Confirmed(5)] * 200
    assert len(harness.sent) == 2


def test_calls_go_on_after_a_failure_that_none_expected(harness):
    """Guards against a replica that confirms nothing any more."""
    harness.host.leader = "c2"
    harness.router.call("config", messages.ConfirmRead(), TIMEOUT_S)
    send = harness.router._send

    def fail_once(target, msg):
        harness.router._send = send
        raise ValueError("unexpected")

    harness.router._send = fail_once
    shared = [harness.router.call("config", messages.ConfirmRead(), TIMEOUT_S) for _ in range(2)]
    harness.wait_sent(2)
    _, msg = harness.sent[-1]
    harness.router.handle_reply(messages.ForwardReply(msg.call_id, messages.Confirmed(5)))
    assert [fut.result(TIMEOUT_S) for fut in shared] == [messages.Confirmed(5)] * 2
    later = harness.router.call("config", "x", 0.5)
    assert later.result(TIMEOUT_S) == unavailable.Unavailable("no result from c2 in time")


def test_resent_change_without_a_result_is_not_reported_as_safe_to_retry(harness):
    change = commands.OperatorChange("1", None, "", changes.UsePreset("a"))
    harness.host.leader = "c2"
    fut = harness.router.call("config", change, 0.6)
    harness.connected, harness.host.leader = False, "c3"
    assert fut.result(TIMEOUT_S).retry is False


def test_call_without_a_connection_is_safe_to_retry(harness):
    harness.host.leader, harness.connected = "c2", False
    result = harness.router.call("config", "x", 0.3).result(TIMEOUT_S)
    assert result == unavailable.Unavailable("no connection to the leader c2", retry=True)


def test_call_is_forwarded_to_the_new_leader_after_a_rejection(harness):
    harness.host.leader = "c2"
    fut = harness.router.call("config", "x", TIMEOUT_S)
    rejected = unavailable.Unavailable("not-leader", retry=True)
    harness.host.leader = "c3"
    harness.router.handle_reply(messages.ForwardReply(harness.sent[0][1].call_id, rejected))
    harness.wait_sent(2)
    assert [target for target, _ in harness.sent] == ["c2", "c3"]
    harness.router.handle_reply(messages.ForwardReply(harness.sent[1][1].call_id, "done"))
    assert fut.result(TIMEOUT_S) == "done"


def test_confirmed_read_waits_until_its_index_is_applied(harness):
    harness.host.leader = "c2"
    current = harness.router.call("config", messages.ConfirmRead(), TIMEOUT_S)
    behind = harness.router.call("config", messages.ConfirmRead(), 0.3)
    for (_, forward), index in zip(harness.sent, (5, 6), strict=True):
        harness.router.handle_reply(
            messages.ForwardReply(forward.call_id, messages.Confirmed(index))
        )
    assert current.result(TIMEOUT_S) == messages.Confirmed(5)
    assert isinstance(behind.result(TIMEOUT_S), unavailable.Unavailable)


def test_unknown_group_is_refused(harness):
    assert isinstance(harness.router.call("x", "y", 1.0).result(0), unavailable.Unavailable)
