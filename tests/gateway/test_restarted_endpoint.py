"""Entries keep to the rate of an endpoint that has started again under its name."""

import bisect
import contextlib
import itertools
import random
import socket
import threading
import time

import pytest

from oriolelock import clock
from oriolelock.dispatch import restarts
from tests import waiting
from tests.gateway import conftest
from tests.http1 import raw_endpoint

# Of the service in ``conftest.make_configuration``, and the users' bound for it.
COLD_RATE, COLD_S = 4.0, 1.0
MAX_PER_S = COLD_RATE * 1.5 + 5
SERVICE_S = 0.04


class RestartingEndpoint:
    """Can end with all connections, and start again at its address, cold."""

    def __init__(self):
        self._conns = []
        self._lock = threading.Lock()
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = self._sock.getsockname()
        self.started_s = float("-inf")
        self.arrivals_s = []
        threading.Thread(target=self._accept, args=(self._sock,), daemon=True).start()

    def _accept(self, sock):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = sock.accept()
                with self._lock:
                    self._conns.append(conn)
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        with contextlib.suppress(OSError), conn:
            buffered = b""
            while True:
                while b"\r\n\r\n" not in buffered:
                    received = conn.recv(65536)
                    if not received:
                        return
                    buffered += received
                head, _, buffered = buffered.partition(b"\r\n\r\n")
                self.arrivals_s.append(time.monotonic())
                time.sleep(SERVICE_S)
                cold_ms = 1000 * max(0.0, self.started_s + COLD_S - time.monotonic())
                extra = b"X-Cold-Ms: %d\r\nKeep-Alive: timeout=5\r\n" % cold_ms
                conn.sendall(conftest.make_response(head, extra_headers=extra))

    def end(self):
        """Refuse connections and close all."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()
        with self._lock:
            for conn in self._conns:
                with contextlib.suppress(OSError):
                    conn.shutdown(socket.SHUT_RDWR)
            self._conns = []

    def start(self):
        """Accept connections again."""
        self._sock = socket.create_server(self.address)
        self.started_s = time.monotonic()
        threading.Thread(target=self._accept, args=(self._sock,), daemon=True).start()

    def close(self):
        self.end()

    def most_per_second_while_cold(self):
        return most_per_second(self.arrivals_s, self.started_s, self.started_s + COLD_S)


def most_per_second(times_s, from_s, to_s):
    """Return the largest number of times within a second."""
    times_s = sorted(at_s for at_s in times_s if from_s <= at_s <= to_s)
    return max(
        (
            bisect.bisect_right(times_s, first_s + 1.0) - position
            for position, first_s in enumerate(times_s)
        ),
        default=0,
    )


def send(entry, number):
    """Return the status of the response to a request for an object of its own."""
    req = conftest.make_request(b"/safe/%d" % number, request_id=b"i%d" % number)
    with entry.connect() as sock:
        sock.sendall(req.replace(b"Object: 7", b"Object: %d" % number))
        data = b""
        while received := sock.recv(65536):
            data += received
    return int(data.split()[1])


def is_warm(entry, endpoint):
    """Return whether an entry knows that an endpoint is warm."""

    def find():
        now, view = clock.monotonic_s(), entry.core.chooser.views[endpoint]
        state = entry.core.chooser.restarts.state(view.restart_digest, now)
        is_settled = state is restarts.State.SETTLED
        return is_settled and view.is_usable(now) and not entry.core.chooser.is_limited(view, now)

    return entry.loop_thread.call(find)


@contextlib.contextmanager
def calling(fleet, per_s):
    """Send requests to random entries meanwhile; yields the statuses."""
    stop, statuses, numbers = threading.Event(), [], itertools.count()

    def call():
        while not stop.wait(random.uniform(0.5, 1.5) * 16 / per_s):
            entry = random.choice(fleet)
            with contextlib.suppress(OSError):
                statuses.append(send(entry, next(numbers)))

    threads = [threading.Thread(target=call, daemon=True) for _ in range(16)]
    for thread in threads:
        thread.start()
    yield statuses
    stop.set()
    for thread in threads:
        thread.join()


@pytest.mark.parametrize("gap_s", [0.2, 0.5])
def test_endpoint_that_starts_again_under_its_name_is_not_flooded(make_fleet, monkeypatch, gap_s):
    """Guards against entries that go on as before, as the list tells the new start too late."""
    monkeypatch.setattr(raw_endpoint, "RawEndpoint", lambda respond: RestartingEndpoint())
    fleet = make_fleet(None, entries=5, cut_off=0, endpoints=3, affinity=False)
    restarted = fleet[0].endpoints["x0"]
    with calling(fleet, 150):
        time.sleep(1.5)
        assert most_per_second(restarted.arrivals_s, 0.0, time.monotonic()) > MAX_PER_S
        for _ in range(2):
            restarted.end()
            time.sleep(gap_s)
            restarted.start()
            time.sleep(COLD_S)
            assert restarted.most_per_second_while_cold() <= MAX_PER_S
            for entry in fleet:
                waiting.until(lambda entry=entry: is_warm(entry, "x0"), 1.0, "warm again")


def test_connections_that_a_warm_endpoint_closes_raise_no_doubt(make_fleet):
    """Guards against warm endpoints that get less as they close single connections."""
    numbers = itertools.count()

    def respond(conn, head, body):
        time.sleep(0.01)
        how = next(numbers) % 4
        extra = b"Connection: close\r\n" if how == 0 else b"Keep-Alive: timeout=5\r\n"
        conn.sendall(conftest.make_response(head, extra_headers=extra))
        return how != 0

    fleet = make_fleet(respond, entries=2, cut_off=0, endpoints=2, affinity=False)
    with calling(fleet, 60) as statuses:
        time.sleep(2.0)
    assert set(statuses) == {200}
    doubts = [item.loop_thread.call(lambda e=item: e.core.restarts.counts(0.0)) for item in fleet]
    assert not any(count for counts in doubts for count in counts.values())
