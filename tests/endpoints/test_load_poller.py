"""Guards against missing load reports, also if some endpoints do not respond."""

import dataclasses
import json
import socket

import pytest

from oriolelock.endpoints import liveness, load_poller, load_report
from tests import fake_endpoint, memory, waiting
from tests.dispatch import builders
from tests.http1 import raw_endpoint, test_endless_responses

SOUND_REPLY = fake_endpoint.LOAD_REPLY


@pytest.fixture
def live_endpoint():
    server = fake_endpoint.FakeEndpoint()
    yield server
    server.close()


def closed_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_reports_are_kept_if_another_endpoint_is_down(live_endpoint):
    closed_endpoint = fake_endpoint.FakeEndpoint()
    targets = [live_endpoint.model("a"), closed_endpoint.model("b")]
    closed_endpoint.close()
    reports = load_poller.poll_once(targets)
    expected = json.loads(fake_endpoint.LOAD_BODY)
    del expected["age_ms"]
    assert reports == {"a": load_report.LoadReport(**expected)}


@pytest.mark.parametrize("kind", test_endless_responses.ENDLESS)
def test_endless_report_is_ignored_and_read_no_further(kind):
    endpoint = test_endless_responses.EndlessEndpoint(kind)
    address = ":".join(map(str, endpoint.address))
    target = dataclasses.replace(builders.make_endpoint("a"), address=address)
    with memory.growth() as growth:
        assert load_poller.poll_once([target]) == {}
    assert endpoint.ended.wait(5)
    assert growth[0] < 8 * 2**20


@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 000 X",
        b"HTTP/1.1 099 X",
        b"HTTP/1.1 999 X",
        b"HTTP/1.1 600 X",
        b"HTTP/1.1 101 X",
    ],
)
def test_answer_with_an_invalid_status_is_no_load_report(live_endpoint, monkeypatch, status_line):
    reply = fake_endpoint.LOAD_REPLY.replace(b"HTTP/1.1 200 OK", status_line)
    monkeypatch.setattr(fake_endpoint, "LOAD_REPLY", reply)
    sound_endpoint = raw_endpoint.RawEndpoint(lambda conn, head, body: conn.sendall(SOUND_REPLY))
    address = ":".join(map(str, sound_endpoint.address))
    sound_target = dataclasses.replace(live_endpoint.model("b"), address=address)
    # The poller runs on and reads the other reports.
    assert set(load_poller.poll_once([live_endpoint.model("a"), sound_target])) == {"b"}


def test_poller_repeats_and_stops(live_endpoint):
    received = []
    poller = load_poller.LoadPoller(
        lambda now: [live_endpoint.model()],
        lambda *report_args: received.append(report_args),
        interval_s=0.01,
    )
    poller.start()
    waiting.until(lambda: len(received) >= 3)
    poller.stop()
    assert received[0][0] == "e1"


def test_only_a_closed_port_counts_as_refusing(live_endpoint):
    assert not liveness.is_refusing(live_endpoint.address)
    assert liveness.is_refusing(closed_address())


def test_endpoint_where_nothing_listens_goes_unnoticed(live_endpoint):
    dead = dataclasses.replace(live_endpoint.model("dead"), address=closed_address())
    refused = []
    poller = load_poller.LoadPoller(
        lambda now: [live_endpoint.model("a"), dead],
        lambda name, report, age_s: None,
        on_refused=refused.append,
    )
    poller.poll(0.0)
    assert refused == ["dead"]
