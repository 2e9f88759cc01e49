"""Guards against requests sent to an endpoint that has just started as to a warm one."""

import concurrent.futures
import threading

from oriolelock.endpoints import restart_signs
from tests import fake_endpoint, waiting


def send_together(running, count):
    barrier = threading.Barrier(count)

    def behave(seen, conn):
        barrier.wait(10)
        return fake_endpoint.answer(seen)

    running.endpoint.behave = behave
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        for reply in executor.map(lambda _: running.send_request(), range(count)):
            assert reply.status == 200


def dump_of(running):
    return running.entry.dump()["steering"]["router"]["services"]["proofs"]["endpoints"]["e1"]


def test_endpoint_that_ended_all_its_idle_connections_goes_on_as_a_warm_one(start, monkeypatch):
    """No request meets the crash, and no connection is refused."""
    # On a busy machine more may pass; the bound has tests of its own.
    monkeypatch.setattr(restart_signs, "MAX_IDLE_S", 60.0)
    running = start().wait_ready()
    for _ in range(2):
        send_together(running, 2)
    assert dump_of(running)["ramp"] == 1.0
    running.endpoint.behave = lambda seen, conn: fake_endpoint.answer(seen)
    running.endpoint.end_connections()
    waiting.until(lambda: not running.endpoint.open_sockets)
    running.send_request()
    assert dump_of(running)["ramp"] < 0.5


def test_idle_endpoint_that_ended_is_taken_for_a_live_one(start):
    """Only the polls of its load meet it."""
    running = start().wait_ready()
    running.send_request()
    running.endpoint.close()
    running.endpoint.end_connections()

    def ejected():
        return running.entry.dump()["steering"]["router"]["services"]["proofs"]["ejected"]

    waiting.until(lambda: ejected() == ["e1"], 10)
