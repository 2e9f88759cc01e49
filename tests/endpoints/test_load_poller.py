"""Guards against decisions without figures: polled loads, also when some do not answer."""

import json
import socket

import pytest

from oriolelock.endpoints import liveness, load_poller, load_report
from tests import fake_endpoint, waiting


@pytest.fixture
def running():
    item = fake_endpoint.FakeEndpoint()
    yield item
    item.close()


def closed_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def test_answers_are_kept_when_another_endpoint_is_gone(running):
    gone = fake_endpoint.FakeEndpoint()
    found = [running.model("a"), gone.model("b")]
    gone.close()
    answers = load_poller.poll_once(found)
    expected = json.loads(fake_endpoint.LOAD_BODY)
    del expected["age_ms"]
    assert answers == {"a": load_report.LoadReport(**expected)}


def test_poller_asks_again_and_stops(running):
    seen = []
    item = load_poller.LoadPoller(
        lambda now: [running.model()], lambda *news: seen.append(news), interval_s=0.01
    )
    item.start()
    waiting.until(lambda: len(seen) >= 3)
    item.stop()
    assert seen[0][0] == "e1"


def test_only_a_closed_port_is_a_death(running):
    assert not liveness.is_refusing(running.address)
    assert liveness.is_refusing(closed_address())
