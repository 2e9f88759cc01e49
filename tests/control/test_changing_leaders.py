"""Guards against judgements of a leader that begin anew with each leader, and so never end."""

import contextlib
import threading
import time
import types

import pytest

from oriolelock.control import call_router, commands
from oriolelock.distribution import messages
from oriolelock.model import changes
from oriolelock.wire import channel, errors, hello
from tests import waiting
from tests.control import cluster, samples, test_instance_monitor

# A leader is lost this often, and leads for half of the time at most.
LOSS_INTERVAL_S = 5.0
RESTART_AFTER_S = 1.0
LOSSES = 5
# The contact window of the smallest deployments and 3 s, until lookups name an entry no more.
GONE_S = 6.0
# The limit of the interface, and the time to answer.
CALL_LIMIT_S = 9.0
ENTRIES = ("a", "b", "c", "d", "e")


class MovingReporter:
    """Reports for entries to one replica after another, as entries do whose parent is lost."""

    def __init__(self, replicas, offset):
        self.names = set()
        self._replicas, self._offset = replicas, offset
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _connect(self):
        greeting = hello.Hello(hello.PROTOCOL_VERSION, "test", cluster.CLUSTER_TOKEN, "e", "entry")
        self._offset += 1
        name = self._replicas.names[self._offset % len(self._replicas.names)]
        return channel.connect(("127.0.0.1", self._replicas.link[name]), greeting, 0.5)

    def _run(self):
        conn = None
        while not self._stopping.wait(0.3):
            reports = tuple(
                messages.StatusReport(name, 1, 1, "ready", 5.0, 0) for name in sorted(self.names)
            )
            try:
                conn = conn or self._connect()
                conn.send(messages.StatusBatch(reports))
                # Raises if the replica is gone.
                conn.recv(0.0)
            except errors.WireError:
                conn = None
        if conn is not None:
            conn.close()

    def close(self):
        self._stopping.set()
        self._thread.join()


@pytest.fixture
def replicas(tmp_path):
    with contextlib.ExitStack() as stack:
        started = cluster.Cluster(tmp_path)
        stack.callback(started.close)
        started.form()
        for name in started.names:
            started.start(name)
        started.wait_for_leader()
        yield started


@contextlib.contextmanager
def losses(replicas):
    """Lose leaders meanwhile; yields the list of those that were lost."""
    stopping, lost = threading.Event(), []
    thread = threading.Thread(target=lose_leaders, args=(replicas, stopping, lost))
    thread.start()
    try:
        yield lost
    finally:
        stopping.set()
        thread.join()


@pytest.fixture
def harness(tmp_path):
    with contextlib.ExitStack() as stack:
        instances = test_instance_monitor.InstanceList()
        stack.callback(instances.close)
        instances.items = [test_instance_monitor.entry(name) for name in ENTRIES]
        replicas = cluster.Cluster(tmp_path, instance_list=instances.url, instance_poll="200 ms")
        stack.callback(replicas.close)
        replicas.form()
        for name in replicas.names:
            replicas.start(name)
        reporters = [MovingReporter(replicas, offset) for offset in range(3)]
        for reporter in reporters:
            stack.callback(reporter.close)
        for number, name in enumerate(ENTRIES):
            reporters[number % 3].names.add(name)
        yield replicas, reporters


def states(replicas):
    """Return the committed states of entries, as far as a running replica knows them."""
    best = (-1, {})
    for name in list(replicas.processes):
        data = replicas.call(name, "status")[1]
        if data:
            rows = {r["name"]: r["state"] for r in data["instances"] if r["role"] == "entry"}
            best = max(best, (data["index"], rows), key=lambda found: found[0])
    return best[1]


def lose_leaders(replicas, stopping, lost):
    """Kill the leader again and again, and start it again a moment later; adds to ``lost``."""
    next_s = time.monotonic()
    while not stopping.wait(max(0.0, next_s - time.monotonic())):
        next_s += LOSS_INTERVAL_S
        leader = replicas.wait_for_leader()
        replicas.kill(leader)
        lost.append(leader)
        stopping.wait(RESTART_AFTER_S)
        replicas.start(leader)


def test_an_entry_that_is_gone_is_set_down_while_leaders_change(harness):
    """Otherwise lookups go on naming it for as long as each leader is lost within seconds."""
    replicas, reporters = harness
    cluster.wait_for(
        lambda: states(replicas) == dict.fromkeys(ENTRIES, "ready"), "all entries report"
    )
    started_s = time.monotonic()
    with losses(replicas) as lost:
        time.sleep(LOSS_INTERVAL_S - 2.0)
        reporters[0].names.discard("a")
        gone_s, down_s, wrong = time.monotonic(), None, set()
        while time.monotonic() < started_s + LOSSES * LOSS_INTERVAL_S:
            found = states(replicas)
            wrong |= {n for n, state in found.items() if state == "down"} - {"a"}
            if found.get("a") == "down" and down_s is None:
                down_s = time.monotonic()
            time.sleep(0.1)
    assert len(lost) >= LOSSES - 1
    assert not wrong
    assert down_s is not None, "never set down"
    # The bound, and the time from the loss of one leader until the next one is elected.
    assert down_s - gone_s <= GONE_S + 3.0


def test_a_change_that_was_accepted_is_never_refused_while_leaders_change(replicas):
    """Guards against results, and calls, that are lost with the leader that knew them."""
    answers, durations_s = [], []

    def send(change_id):
        began_s = time.monotonic()
        name = replicas.names[len(answers) % len(replicas.names)]
        data = samples.preset_json(f"preset-{change_id}")
        status, answer = replicas.change(name, change_id, "put-preset", preset=data)
        if name in replicas.processes:
            durations_s.append(time.monotonic() - began_s)
        answers.append((change_id, status, answer))
        return (answer["result"], answer["version"]) if status == 200 else None

    started_s, accepted, number = time.monotonic(), {}, 0
    with losses(replicas) as lost:
        while time.monotonic() < started_s + LOSSES * LOSS_INTERVAL_S:
            for change_id in (*list(accepted)[-3:], str(number)):
                result = send(change_id)
                if result is not None:
                    # Sent again, a change gets the result that it had.
                    assert accepted.setdefault(change_id, result) == result
            number += str(number) in accepted
    assert len(lost) >= LOSSES - 1
    assert len(accepted) > LOSSES
    assert {status for _, status, _ in answers} <= {0, 200, 503}
    assert max(durations_s) <= CALL_LIMIT_S


def test_call_to_a_leader_that_started_again_and_leads_again_is_sent_again():
    """Guards against calls that wait until their limit for the process before."""
    status = types.SimpleNamespace(leader="c2", term=3)
    sent = []
    router = call_router.CallRouter(
        "c1",
        {"config": types.SimpleNamespace(status=lambda: status)},
        lambda target, msg: sent.append(target) or True,
    )
    router.start()
    change = commands.OperatorChange("1", None, "", changes.UsePreset("a"))
    router.call("config", change, CALL_LIMIT_S)
    status.leader = ""
    time.sleep(4 * call_router.CHECK_INTERVAL_S)
    status.leader, status.term = "c2", 5
    waiting.until(lambda: sent == ["c2", "c2"], 2.0, "sent to the leader of the new term")
    router.stop()


def test_deaths_that_were_reported_to_different_leaders_add_up(replicas):
    """Guards against requests that crash endpoints for as long as leaders change."""
    conn = None
    for number in range(2):
        leader = replicas.wait_for_leader()
        follower = next(name for name in replicas.processes if name != leader)
        conn = replicas.connect_link(follower)
        conn.send(messages.UplinkCall(f"{number}", changes.ReportCrash("f", f"x{number}")))
        replies = iter(lambda link=conn: link.recv(5.0), None)
        reply = next(msg for msg in replies if isinstance(msg, messages.UplinkReply))
        assert reply.error == ""
        if number == 0:
            conn.close()
            replicas.kill(leader)
    conn.send(messages.Subscribe("e1", 0))
    replies = iter(lambda: conn.recv(5.0), None)
    snapshot = next(msg for msg in replies if isinstance(msg, messages.Snapshot))
    conn.close()
    record = snapshot.configuration.crashes["f"]
    assert [name for name, _ in record.deaths] == ["x0", "x1"]
    assert record.until_s > 0.0
