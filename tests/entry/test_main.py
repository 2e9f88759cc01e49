"""Tests that a planned stop succeeds and aborts no request."""

import http.client
import pathlib
import signal
import subprocess
import sys
import threading

from tests import fake_endpoint, fake_parent, waiting

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = """
name: a
cluster: {cluster}
region: perth
failure_domain: perth-a
listen: 127.0.0.1:0
control: ["127.0.0.1:{parent}"]
cluster_token: {token}
threads: 4
lookup_ttl: 100 ms
leave_lag: 100 ms
drain_timeout: 20 s
"""


def wait_for_port(process):
    for line in process.stderr:
        if "serving callers at" in line:
            return int(line.rsplit(":", 1)[1])
    raise AssertionError("the entry ended before it served")


def request_status(port, path, headers):
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=20)
    try:
        conn.request("GET", path, headers=headers)
        return conn.getresponse().status
    except OSError:
        return None
    finally:
        conn.close()


def test_sigterm_announces_leaving_finishes_and_exits_0(tmp_path):
    finish_request = threading.Event()

    def behave(seen, conn):
        finish_request.wait(30)
        return fake_endpoint.answer(seen)

    endpoint = fake_endpoint.FakeEndpoint(behave)
    parent = fake_parent.FakeParent(fake_parent.make_config(endpoints=[endpoint.model()]))
    fields = {"cluster": fake_parent.CLUSTER, "token": fake_parent.TOKEN}
    path = tmp_path / "entry.yaml"
    path.write_text(SETTINGS.format(parent=parent.address[1], **fields))
    command = [sys.executable, "-m", "oriolelock.entry", str(path)]
    process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
    try:
        port = wait_for_port(process)
        waiting.until(lambda: request_status(port, "/oriolelock/ready", {}) == 200)
        headers = {"Oriolelock-Service": "proofs", "Oriolelock-Operation": "view"}
        headers["Oriolelock-Deadline-Ms"] = "4500"
        statuses = []
        caller = threading.Thread(
            target=lambda: statuses.append(request_status(port, "/p", headers))
        )
        caller.start()
        endpoint.wait_for(lambda seen: len(seen) == 1)
        process.send_signal(signal.SIGTERM)
        parent.wait_for(lambda: any(r.state == "leaving" for r in parent.reports))
        waiting.until(lambda: request_status(port, "/oriolelock/ready", {}) == 503)
        finish_request.set()
        caller.join(20)
        assert statuses == [200]
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()
        process.stderr.close()
        parent.close()
        endpoint.close()
