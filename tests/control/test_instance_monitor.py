"""Guards against entry states that contradict the instance list and the status reports."""

import contextlib
import http.server
import json
import threading

import pytest

from oriolelock.control import instance_list
from oriolelock.distribution import messages
from tests.control import cluster


class InstanceList:
    """An HTTP server of the platform's instance list.

    ``items`` is the list that it returns; with None it returns an error.
    """

    def __init__(self):
        self.items = []
        self.reads = 0
        instance_list_server = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                body = json.dumps(instance_list_server.items).encode()
                self.send_response(200 if instance_list_server.items is not None else 500)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                instance_list_server.reads += 1

            def log_message(self, *args):
                pass

        self.server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.05,))
        self.thread.start()

    @property
    def url(self):
        return f"http://127.0.0.1:{self.server.server_address[1]}/instances"

    def close(self):
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


def entry(name, state="live"):
    location = {"address": "127.0.0.1:9", "region": "perth", "failure_domain": "p1"}
    return {"id": name, "role": "entry", "state": state, **location}


class Reporter:
    """Sends the status reports of the entries in ``names`` over one connection."""

    def __init__(self, conn):
        self.conn = conn
        self.names = set()
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopping.wait(0.3):
            reports = [
                messages.StatusReport(name, 3, 9, "ready", 5.0, 0) for name in sorted(self.names)
            ]
            self.conn.send(messages.StatusBatch(tuple(reports)))

    def close(self):
        self.stopping.set()
        self.thread.join()
        self.conn.close()


@pytest.fixture
def harness(tmp_path):
    with contextlib.ExitStack() as stack:
        instances = InstanceList()
        stack.callback(instances.close)
        replicas = cluster.Cluster(tmp_path, instance_list=instances.url, instance_poll="100 ms")
        stack.callback(replicas.close)
        replicas.form()
        for name in replicas.names:
            replicas.start(name)
        leader = replicas.wait_for_leader()
        follower = next(name for name in replicas.names if name != leader)
        reporter = Reporter(replicas.connect_link(follower))
        stack.callback(reporter.close)
        yield replicas, instances, reporter


def entries_in_status(replicas):
    """Return the entries in the status of the current leader, which may change."""
    data = replicas.call(replicas.wait_for_leader(), "status")[1]
    return {row["name"]: row for row in data["instances"] if row["role"] == "entry"}


def states(replicas):
    return {name: row["state"] for name, row in entries_in_status(replicas).items()}


def held_back(replicas):
    return replicas.call(replicas.wait_for_leader(), "state")[1]["held_back"]


def test_entry_states_follow_the_list_and_the_reports(harness):
    replicas, instances, reporter = harness
    instances.items = [entry(name) for name in ("a", "b", "c")]
    reporter.names = {"a", "b", "c"}
    ready = {"a": "ready", "b": "ready", "c": "ready"}
    cluster.wait_for(lambda: states(replicas) == ready, "entries ready")
    assert all(row["seen"] and row["version"] == 3 for row in entries_in_status(replicas).values())

    reporter.names = {"a", "b"}
    cluster.wait_for(lambda: states(replicas)["c"] == "down", "c to be down")
    reporter.names = {"a", "b", "c"}
    cluster.wait_for(lambda: states(replicas) == ready, "c to return")

    reporter.names = set()
    cluster.wait_for(lambda: len(held_back(replicas)) == 3, "silent entries held back")
    assert set(states(replicas).values()) == {"live"}
    assert not any(row["seen"] for row in entries_in_status(replicas).values())

    reporter.names = {"a", "b", "c"}
    cluster.wait_for(lambda: states(replicas) == ready, "all to report again")
    instances.items = [entry("a"), entry("b", "leaving")]
    # The list may lag behind an entry that joined, so one that reports is not removed.
    end = instances.reads + 2 * instance_list.READINGS_UNTIL_REMOVED
    cluster.wait_for(lambda: instances.reads >= end, "readings without c")
    assert states(replicas)["c"] == "ready"
    reporter.names = {"a", "b"}
    cluster.wait_for(
        lambda: states(replicas) == {"a": "ready", "b": "leaving"}, "b leaves, c is gone"
    )
    for instances.items in ([], None):
        end = instances.reads + 2 * instance_list.READINGS_UNTIL_REMOVED
        cluster.wait_for(lambda end=end: instances.reads >= end, "readings of the list")
        assert set(states(replicas)) == {"a", "b"}
