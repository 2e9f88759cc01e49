"""Guards against entries that stay live, or vanish, contrary to list and reports."""

import contextlib
import http.server
import json
import threading

import pytest

from oriolelock.control import instance_list
from oriolelock.distribution import messages
from tests.control import cluster


class InstanceList:
    """A stand-in of the platform's list; ``items`` is what it answers, None for an error."""

    def __init__(self):
        self.items = []
        self.reads = 0
        outer = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self):  # noqa: N802
                body = json.dumps(outer.items).encode()
                self.send_response(200 if outer.items is not None else 500)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                outer.reads += 1

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
    place = {"address": "127.0.0.1:9", "region": "perth", "failure_domain": "p1"}
    return {"id": name, "role": "entry", "state": state, **place}


class Reporter:
    """Reports as the head of several entries until told otherwise."""

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
def rig(tmp_path):
    with contextlib.ExitStack() as stack:
        instances = InstanceList()
        stack.callback(instances.close)
        item = cluster.Cluster(tmp_path, instance_list=instances.url, instance_poll="100 ms")
        stack.callback(item.close)
        item.form()
        for name in item.names:
            item.start(name)
        leader = item.wait_for_leader()
        follower = next(name for name in item.names if name != leader)
        reporter = Reporter(item.subscribe(follower))
        stack.callback(reporter.close)
        yield item, instances, reporter


def shown(item):
    """Return the entries as the present leader shows them; leadership may move."""
    data = item.call(item.wait_for_leader(), "status")[1]
    return {row["name"]: row for row in data["instances"] if row["role"] == "entry"}


def states(item):
    return {name: row["state"] for name, row in shown(item).items()}


def held_back(item):
    return item.call(item.wait_for_leader(), "state")[1]["held_back"]


def test_entries_follow_list_and_reports(rig):
    item, instances, reporter = rig
    instances.items = [entry(name) for name in ("a", "b", "c")]
    reporter.names = {"a", "b", "c"}
    ready = {"a": "ready", "b": "ready", "c": "ready"}
    cluster.wait_for(lambda: states(item) == ready, "entries ready")
    assert all(row["seen"] and row["version"] == 3 for row in shown(item).values())

    reporter.names = {"a", "b"}
    cluster.wait_for(lambda: states(item)["c"] == "down", "c to be down")
    reporter.names = {"a", "b", "c"}
    cluster.wait_for(lambda: states(item) == ready, "c to return")

    reporter.names = set()
    cluster.wait_for(lambda: len(held_back(item)) == 3, "silent entries held back")
    assert set(states(item).values()) == {"live"}
    assert not any(row["seen"] for row in shown(item).values())

    reporter.names = {"a", "b", "c"}
    cluster.wait_for(lambda: states(item) == ready, "all to report again")
    instances.items = [entry("a"), entry("b", "leaving")]
    # The list may lag behind an entry that joined; one that reports is not gone.
    end = instances.reads + 2 * instance_list.READINGS_UNTIL_GONE
    cluster.wait_for(lambda: instances.reads >= end, "readings without c")
    assert states(item)["c"] == "ready"
    reporter.names = {"a", "b"}
    cluster.wait_for(lambda: states(item) == {"a": "ready", "b": "leaving"}, "b leaves, c is gone")
    for instances.items in ([], None):
        end = instances.reads + 2 * instance_list.READINGS_UNTIL_GONE
        cluster.wait_for(lambda end=end: instances.reads >= end, "readings of the list")
        assert set(states(item)) == {"a", "b"}
