"""Guards against judgements of a leader that begin anew with each leader, and so never end."""

import contextlib
import threading
import time

import pytest

from oriolelock.distribution import messages
from oriolelock.wire import channel, errors, hello
from tests.control import cluster, test_instance_monitor

# A leader is lost this often, and leads for half of the time at most.
LOSS_INTERVAL_S = 5.0
RESTART_AFTER_S = 1.0
LOSSES = 5
# The contact window of the smallest deployments and 3 s, until lookups name an entry no more.
GONE_S = 6.0
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
    stopping, lost = threading.Event(), []
    losses = threading.Thread(target=lose_leaders, args=(replicas, stopping, lost))
    started_s = time.monotonic()
    losses.start()
    try:
        time.sleep(LOSS_INTERVAL_S - 2.0)
        reporters[0].names.discard("a")
        gone_s, down_s, wrong = time.monotonic(), None, set()
        while time.monotonic() < started_s + LOSSES * LOSS_INTERVAL_S:
            found = states(replicas)
            wrong |= {n for n, state in found.items() if state == "down"} - {"a"}
            if found.get("a") == "down" and down_s is None:
                down_s = time.monotonic()
            time.sleep(0.1)
    finally:
        stopping.set()
        losses.join()
    assert len(lost) >= LOSSES - 1
    assert not wrong
    assert down_s is not None, "never set down"
    # The bound, and the time from the loss of one leader until the next one is elected.
    assert down_s - gone_s <= GONE_S + 3.0
