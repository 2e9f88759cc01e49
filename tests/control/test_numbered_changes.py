"""An order that waited must not undo what was ordered since.

A replica that had been frozen carried out a waiting copy of an order to end an evacuation, though
the failure domain had been evacuated again meanwhile and that was acknowledged.
"""

import concurrent.futures
import socket
import threading
import time

import pytest

from oriolelock.control import (
    change_numbers,
    commands,
    config_state,
    hosted,
    messages,
    numbered_change,
    peer_link,
    unavailable,
)
from oriolelock.model import changes, drain, results
from oriolelock.platform import calls
from oriolelock.settings import control as settings
from oriolelock.wire import channel, hello
from tests import waiting
from tests.control import cluster, test_seeds

TIMEOUT_S = 10.0
DOMAIN = "a1"
START = b"/oriolelock/Evacuations.Start/a1"
STOP = b"/oriolelock/Evacuations.Stop/a1"


def is_wanted():
    return True


def evacuation():
    return changes.AddDrain(
        drain.Drain(f"evacuation-{DOMAIN}", "failure_domain", DOMAIN, 0.0, 0.0, forced=True)
    )


def end():
    return changes.CancelDrain(f"evacuation-{DOMAIN}")


def completed(result):
    fut = concurrent.futures.Future()
    fut.set_result(result)
    return fut


@pytest.fixture
def group(tmp_path):
    made = test_seeds.Replicas(tmp_path, 3)
    for number in range(3):
        made.start(number, True)
    made.wait_for_voters(3)
    yield made
    made.stop_all()


def find_leader(group):
    return next(n for n, item in group.running.items() if item.replica.status().is_leader)


def hold_back(replica, is_held):
    """Keep a replica from sending the messages that ``is_held`` chooses; returns their list."""
    held, send = [], replica.replica._links.send

    def send_or_hold(target, msg):
        if is_held(msg):
            held.append((target, msg))
            return True
        return send(target, msg)

    replica.replica._links.send = send_or_hold
    return held


@pytest.mark.parametrize("delayed", ["restore", "evacuate"])
def test_a_forwarded_order_that_was_delayed_changes_nothing(group, delayed):
    """It may wait in the connection to the leader, as long as that is cut off or frozen."""
    leader = find_leader(group)
    slow, other = (n for n in group.running if n != leader)
    operations = {n: item.operations for n, item in group.running.items()}
    if delayed == "restore":
        operations[other].evacuate(DOMAIN, is_wanted).result(TIMEOUT_S)
    held = hold_back(
        group.running[slow],
        lambda msg: isinstance(msg, messages.Forward)
        and not isinstance(msg.payload, messages.ConfirmRead),
    )
    getattr(operations[slow], delayed)(DOMAIN, is_wanted)
    cluster.wait_for(lambda: held, "the order on its way to the leader")
    # The operator sends it to another replica, and later orders the opposite.
    opposite = "evacuate" if delayed == "restore" else "restore"
    for name in (delayed, opposite):
        result = getattr(operations[other], name)(DOMAIN, is_wanted).result(TIMEOUT_S)
        assert isinstance(result, results.Applied)
    target, forward = held[0]
    group.running[leader].replica._handle_forward(target, forward)
    # A change after it, so that the delayed order has been applied or dropped.
    applied = operations[leader].change(test_seeds.put(0, 1)).result(TIMEOUT_S)
    assert isinstance(applied, results.Applied)
    drains = group.running[leader].replica.configuration().drains
    assert bool(drains) == (delayed == "restore")


def start_replica(folder):
    port, http_port = cluster.free_ports(2)
    cfg = test_seeds.make_settings(folder, port, http_port, (port,), min_voters=1)
    hosted.form_if_first(cfg, True)
    replica = hosted.Hosted(cfg, [cfg.listen], lambda text: None, dict, calls.make_handler)
    replica.start()
    cluster.wait_for(lambda: replica.replica.status().is_leader, "leadership")
    return replica, cfg.listen


def post(address, path):
    sock = socket.create_connection(address, TIMEOUT_S)
    sock.settimeout(TIMEOUT_S)
    sock.sendall(b"POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" % path)
    return sock


def status_of(sock):
    with sock:
        return int(sock.recv(65536).split()[1])


@pytest.fixture
def replica(tmp_path):
    started, address = start_replica(tmp_path)
    yield started, address
    started.stop()


def test_an_order_whose_caller_has_left_is_not_carried_out(replica):
    running, address = replica
    assert status_of(post(address, START)) == 200
    busy = threading.Event()
    running.loop.call_soon(lambda: busy.wait(TIMEOUT_S))
    # The process does not run while the order arrives and its caller leaves.
    time.sleep(0.1)
    post(address, STOP).close()
    time.sleep(0.1)
    busy.set()
    # Long enough for several commits.
    time.sleep(0.5)
    assert running.replica.configuration().drains
    # An order whose caller waits is carried out.
    assert status_of(post(address, STOP)) == 200
    assert not running.replica.configuration().drains
    assert status_of(post(address, STOP)) == 200


def test_an_order_that_may_have_waited_during_a_pause_is_left_to_other_replicas(replica):
    running, address = replica
    assert status_of(post(address, START)) == 200
    running.replica.lag_s = lambda: 6.0
    assert status_of(post(address, STOP)) == 503
    assert running.replica.configuration().drains
    running.replica.lag_s = lambda: 0.0
    assert status_of(post(address, STOP)) == 200


class FakeReplica:
    """``answers``: results of proposals, in order."""

    def __init__(self, *answers, number=0):
        self.answers, self.number = list(answers), number
        self.proposed = []

    def last_number(self, subject):
        return self.number

    def call(self, group, payload, timeout_s):
        if isinstance(payload, messages.ConfirmRead):
            return completed(messages.Confirmed(1))
        self.proposed.append(payload.change_id)
        self.number += 1
        return completed(self.answers.pop(0))


def give(fake, wanted=True):
    order = numbered_change.NumberedChange(
        fake, "s", end(), lambda: wanted, lambda call: call(), 1.0, 1.0
    )
    order.start()
    return order.fut.result(0)


def test_an_order_that_lost_a_race_takes_the_next_number():
    applied = results.Applied(1, 1)
    fake = FakeReplica(config_state.ID_REUSED, applied, number=4)
    assert give(fake) == applied
    assert fake.proposed == [change_numbers.change_id("s", n) for n in (5, 6)]


def test_nothing_is_proposed_for_a_caller_that_has_left_or_without_a_leader():
    fake = FakeReplica()
    assert isinstance(give(fake, wanted=False), unavailable.Unavailable)
    fake.call = lambda *args: completed(unavailable.Unavailable("no leader"))
    assert give(fake) == unavailable.Unavailable("no leader")
    assert fake.proposed == []


def apply_order(machine, number, change, index):
    change_id = change_numbers.change_id(DOMAIN, number)
    return machine.apply(
        index, commands.Command(1.0, commands.OperatorChange(change_id, None, "", change))
    )


def test_copies_and_late_orders_have_no_effect():
    machine = config_state.ConfigState()
    first = apply_order(machine, 1, evacuation(), 1)
    assert apply_order(machine, 1, evacuation(), 2) == first
    assert isinstance(apply_order(machine, 2, end(), 3), results.Applied)
    assert isinstance(apply_order(machine, 3, evacuation(), 4), results.Applied)
    # Copies of the first two orders, which waited.
    apply_order(machine, 1, evacuation(), 5)
    apply_order(machine, 2, end(), 6)
    assert apply_order(machine, 1, end(), 7) == config_state.ID_REUSED
    assert machine.view().drains
    assert machine.last_number(DOMAIN) == 3
    restored = config_state.ConfigState()
    restored.restore(machine.encode())
    assert restored.last_number(DOMAIN) == 3


def test_an_order_without_effect_takes_a_number_too():
    """A copy of an order before it may still be on its way."""
    machine = config_state.ConfigState()
    assert isinstance(apply_order(machine, 1, end(), 1), results.Refused)
    assert machine.last_number(DOMAIN) == 1
    apply_order(machine, 1, evacuation(), 2)
    assert not machine.view().drains


def test_numbers_of_results_that_expired_are_forgotten():
    numbers = change_numbers.ChangeNumbers()
    for text in ("numbered/a/b/7", "numbered/a/b/8", "routes-77", "numbered/a/x", "numbered//٣"):
        numbers.record(text)
    assert numbers.last("a/b") == 8
    numbers.forget("numbered/a/b/7")
    assert numbers.last("a/b") == 8
    numbers.forget("numbered/a/b/8")
    assert (numbers.last("a/b"), numbers.last("a")) == (0, 0)


def test_an_operators_cancellation_that_waited_is_applied_once():
    """The command line sends a change again, to other replicas, with the same id."""
    machine = config_state.ConfigState()
    payloads = [
        commands.OperatorChange("1", None, "o", evacuation()),
        commands.OperatorChange("2", None, "o", end()),
        commands.OperatorChange("3", None, "o", evacuation()),
        commands.OperatorChange("2", None, "o", end()),
    ]
    for index, payload in enumerate(payloads, 1):
        machine.apply(index, commands.Command(1.0, payload))
    assert machine.view().drains


def test_messages_queued_for_an_earlier_connection_are_not_sent(tmp_path):
    """A forwarded call would be carried out however long the connection was lost."""
    received = []

    def handle(conn):
        link = channel.accept(conn, "c2", "c", "token")
        while link is not None:
            received.append(link.recv(TIMEOUT_S))

    server = channel.serve(("127.0.0.1", 0), handle)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    host, port = server.socket.getsockname()[:2]
    peer = settings.PeerSettings("c2", (host, port), (host, port), "a")
    greeting = hello.Hello(1, "c", "token", "c1", "control", "i")
    link = peer_link.PeerLink(peer, lambda: greeting)
    old, new = messages.Forward("old", "config", end()), messages.Forward("new", "config", end())
    assert not link.send(old)
    link._queue.put(b"old")
    link.start()
    waiting.until(lambda: link.send(new))
    waiting.until(lambda: received)
    assert received == [new]
    link.stop()
    server.shutdown()
