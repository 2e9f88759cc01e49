"""Guards against a new start of an endpoint that its connections show and nobody notices."""

import concurrent.futures
import select
import threading

import pytest

from oriolelock.endpoints import pool, request, restart_signs, results
from tests import fake_endpoint


class Trial:
    """A pool with connections to one endpoint; ``restarts`` lists what the pool tells."""

    def __init__(self):
        self.endpoint = fake_endpoint.FakeEndpoint()
        self.restarts = []
        self.pool = pool.Pool(
            lambda e: e.connections,
            on_restart=lambda endpoint, now: self.restarts.append(endpoint.name),
        )

    def exchange(self, name="r", idempotent=True):
        req = request.Request(name, "GET", "/p", (), b"", idempotent)
        return self.pool.exchange(req, self.endpoint.model(), 5)

    def use_connections(self, count, times=2):
        """Run ``count`` requests at once, ``times`` one after the other."""
        for _ in range(times):
            barrier = threading.Barrier(count)
            self.endpoint.behave = lambda seen, conn, barrier=barrier: (
                barrier.wait(10),
                fake_endpoint.answer(seen),
            )[1]
            with concurrent.futures.ThreadPoolExecutor(count) as executor:
                for result in executor.map(self.exchange, [f"r{n}" for n in range(count)]):
                    assert isinstance(result, results.Completed)
        self.endpoint.behave = lambda seen, conn: fake_endpoint.answer(seen)

    def idle(self):
        return list(self.pool._connections[self.endpoint.address].idle)

    def end_connections(self, count=None):
        idle = self.idle()
        expected = len(idle) if count is None else count
        self.endpoint.end_connections(count)
        ended = []
        while len(ended) < expected:
            ended, _, _ = select.select([conn._idle_fd for conn in idle], [], [], 10)

    def close(self):
        self.pool.close()
        self.endpoint.close()


@pytest.fixture
def trial():
    running = Trial()
    yield running
    running.close()


@pytest.fixture
def long_bounds(monkeypatch):
    """On a busy machine more time may pass; the bounds have tests of their own."""
    monkeypatch.setattr(restart_signs, "MAX_IDLE_S", 60.0)
    monkeypatch.setattr(restart_signs, "ENDED_TOGETHER_S", 60.0)


@pytest.mark.parametrize("idempotent", [True, False])
def test_end_of_all_idle_connections_goes_unnoticed(trial, idempotent, long_bounds):
    trial.use_connections(3)
    trial.end_connections()
    seen = []
    trial.endpoint.behave = lambda request_seen, conn: (
        seen.append(list(trial.restarts)),
        fake_endpoint.answer(request_seen),
    )[1]
    assert isinstance(trial.exchange(idempotent=idempotent), results.Completed)
    assert seen == [["e1"]], "told before the next request is sent"
    trial.exchange()
    assert trial.restarts == ["e1"]


def test_connections_lost_under_way_go_unnoticed(trial, long_bounds):
    trial.use_connections(2)
    started = threading.Barrier(3)
    release = threading.Event()

    def behave(seen, conn):
        started.wait(10)
        release.wait(10)
        return None

    trial.endpoint.behave = behave
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        futures = [executor.submit(trial.exchange, f"r{n}") for n in range(2)]
        started.wait(10)
        trial.endpoint.behave = lambda seen, conn: fake_endpoint.answer(seen)
        release.set()
        for fut in futures:
            fut.result(10)
    assert trial.restarts == ["e1"]


def test_single_connection_that_is_closed_counts_as_a_restart(trial):
    trial.use_connections(1)
    trial.end_connections()
    trial.exchange()
    trial.use_connections(3)
    trial.end_connections(1)
    trial.use_connections(3, times=1)
    assert trial.restarts == []


def test_endpoint_that_closes_each_connection_after_its_response_counts_as_restarting(trial):
    def behave(seen, conn):
        conn.wfile.write(fake_endpoint.answer(seen))

    trial.use_connections(1)
    trial.endpoint.behave = behave
    for n in range(6):
        trial.exchange(f"r{n}")
    assert trial.restarts == []


def test_connections_closed_after_a_time_without_requests_count_as_a_restart(trial):
    trial.use_connections(3)
    trial.end_connections()
    for conn in trial.idle():
        conn.last_used_s -= 2.0
    trial.exchange()
    assert trial.restarts == []
