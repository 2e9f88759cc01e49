import http.client

import pytest

from oriolelock.entry import daemon
from oriolelock.once import messages as once
from oriolelock.settings import entry as entry_settings
from tests import fake_endpoint, fake_parent, waiting


def reply_to_call(payload):
    return once.Granted() if isinstance(payload, once.ClaimKey) else once.Done()


class RunningEntry:
    """An entry in this process, with a fake endpoint and a fake parent."""

    def __init__(self, **overrides):
        self.endpoint = fake_endpoint.FakeEndpoint()
        self.cfg = fake_parent.make_config(endpoints=[self.endpoint.model()])
        self.parent = fake_parent.FakeParent(self.cfg, reply_to_call)
        fields = {
            "name": "a",
            "cluster": fake_parent.CLUSTER,
            "region": "perth",
            "failure_domain": "perth-a",
            "listen": ("127.0.0.1", 0),
            "link_listen": None,
            "control": (self.parent.address,),
            "cluster_token": fake_parent.TOKEN,
            "data_folder": None,
            "threads": 8,
            "worker_slots": 4,
            "picker": "p2c",
            "max_body": 4096,
            "max_headers": 4096,
            "lookup_ttl_s": 0.05,
            "leave_lag_s": 0.05,
            "drain_timeout_s": 10.0,
            "log_level": "INFO",
            "log_json": False,
            "statsd": None,
        }
        self.entry = daemon.Entry(entry_settings.EntrySettings(**{**fields, **overrides}))
        self.entry.start()

    def wait_ready(self):
        waiting.until(lambda: self.entry.uplink.is_ready)
        return self

    def send_request(
        self, method="GET", path="/page?x=1", body=None, headers=None, omit=(), conn=None
    ):
        sent_headers = {
            "Oriolelock-Service": "proofs",
            "Oriolelock-Operation": "view",
            "Oriolelock-Deadline-Ms": "3000",
            **(headers or {}),
        }
        conn = conn or self.connect()
        conn.request(method, path, body, {k: v for k, v in sent_headers.items() if k not in omit})
        response = conn.getresponse()
        response.content = response.read()
        return response

    def connect(self):
        return http.client.HTTPConnection(*self.entry.address, timeout=20)

    def close(self):
        if not self.entry._is_stopping:
            self.entry.stop()
        self.parent.close()
        self.endpoint.close()


@pytest.fixture
def start():
    running = []

    def make(**overrides):
        running.append(RunningEntry(**overrides))
        return running[-1]

    yield make
    for running_entry in running:
        running_entry.close()
