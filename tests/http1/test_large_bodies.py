"""Bodies within their limit must not fill the memory of a process together.

Three of 67 MB took an entry over its memory, and the requests of all its callers were cut.
"""

import contextlib
import socket
import threading
import time

import pytest

from oriolelock.http1 import body_budget, messages, server, server_rules
from oriolelock.model import request_limits
from tests import memory, waiting

MB = 1024 * 1024
BODY_BYTES = 40 * MB
# The smallest instance has 200 MB, of which an entry takes 45 MB at rest.
MAX_GROWTH_BYTES = 155 * MB
LIMITS = request_limits.RequestLimits(
    head_bytes=16 * 1024, body_bytes=64 * MB, head_ms=5000.0, idle_ms=15_000.0
)


class Serving:
    """A server that answers once ``release`` is set; ``budget``: of what its connections hold."""

    def __init__(self, running, answer=b"done"):
        self.running, self.answer = running, answer
        self.exchanges = []
        self.budget = body_budget.BodyBudget()
        rules = server_rules.ServerRules(self.exchanges.append, lambda: LIMITS, bodies=self.budget)
        self.server = running.call(lambda: server.Server(running.loop, ("127.0.0.1", 0), rules))
        self.address = self.server._sock.getsockname()

    def connect(self):
        sock = socket.create_connection(self.address, 10)
        sock.settimeout(10)
        return sock

    def answer_all(self):
        def reply():
            exchanges, self.exchanges[:] = list(self.exchanges), []
            for exchange in exchanges:
                exchange.reply(messages.Response(200, (), self.answer))

        self.running.call(reply)

    def held(self):
        return sum(self.budget._held.values())


@pytest.fixture
def serving(running):
    return Serving(running)


def head(length=None):
    framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    return b"POST /x HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n" % framing


def upload(sock, size=BODY_BYTES, chunked=False):
    """Send a request, as much of it as the server takes."""
    piece = bytes(MB)
    with contextlib.suppress(ConnectionError):
        sock.sendall(head(None if chunked else size))
        for _ in range(size // MB):
            sock.sendall(b"%x\r\n%s\r\n" % (MB, piece) if chunked else piece)
        if chunked:
            sock.sendall(b"0\r\n\r\n")


def read_status(sock):
    data = b""
    with contextlib.suppress(ConnectionError):
        while b"\r\n\r\n" not in data and (received := sock.recv(65536)):
            data += received
    return data


@pytest.mark.parametrize("chunked", [False, True])
def test_large_bodies_that_come_together_stay_within_the_memory(serving, chunked):
    socks = [serving.connect() for _ in range(5)]
    with memory.growth() as growth:
        threads = [
            threading.Thread(target=upload, args=(sock, BODY_BYTES, chunked)) for sock in socks
        ]
        for thread in threads:
            thread.start()
        waiting.until(lambda: serving.exchanges)
        for thread in threads:
            thread.join(30)
        waiting.until(lambda: serving.held() <= BODY_BYTES + 1000)
    assert len(serving.exchanges) == 1
    assert growth[0] < MAX_GROWTH_BYTES
    serving.answer_all()
    answers = [read_status(sock) for sock in socks]
    assert sum(answer.startswith(b"HTTP/1.1 200") for answer in answers) == 1
    refused = [answer for answer in answers if answer.startswith(b"HTTP/1.1 503")]
    # A caller that goes on sending may lose the answer with its connection.
    assert len(refused) >= (0 if chunked else 1)
    assert all(b"\r\nRetry-After: " in answer for answer in refused)
    assert serving.held() == 0
    # There is room again.
    with serving.connect() as sock:
        upload(sock)
        waiting.until(lambda: serving.exchanges)
        serving.answer_all()
        assert read_status(sock).startswith(b"HTTP/1.1 200")
    for sock in socks:
        sock.close()


def test_a_body_without_room_is_refused_before_it_is_sent(serving):
    with serving.connect() as first, serving.connect() as second:
        first.sendall(head(60 * MB))
        waiting.until(serving.held)
        second.sendall(head(60 * MB))
        assert read_status(second).startswith(b"HTTP/1.1 503")
    waiting.until(lambda: not serving.held())
    assert serving.exchanges == []


def test_small_requests_find_room_beside_large_ones(serving):
    with serving.connect() as large, serving.connect() as small:
        large.sendall(head(64 * MB))
        waiting.until(serving.held)
        upload(small, 0)
        small.sendall(head(3) + b"abc")
        waiting.until(lambda: serving.exchanges)
        serving.answer_all()
        assert read_status(small).startswith(b"HTTP/1.1 200")


def test_small_bodies_are_bounded_together():
    budget = body_budget.BodyBudget()
    size = body_budget.SMALL_BYTES
    accepted = sum(budget.hold(number, size) for number in range(1000))
    assert accepted == body_budget.MAX_SMALL_BYTES // size
    assert budget.hold("large", 64 * MB)
    budget.release(0)
    assert budget.hold("new", size)
    # A body that grows moves from one part to the other.
    assert not budget.hold(1, 40 * MB)
    budget.release("large")
    assert budget.hold(1, 40 * MB)
    assert budget.hold("another", size)
    for holder in list(budget._held):
        budget.release(holder)
    assert (budget._small_bytes, budget._large_bytes) == (0, 0)


def test_requests_that_are_pipelined_are_counted(serving):
    with serving.connect() as sock:
        sock.sendall(head(0))
        waiting.until(lambda: serving.exchanges)
        before = serving.held()
        sock.sendall(b"x" * 100_000)
        waiting.until(lambda: serving.held() >= before + 100_000)


def test_responses_that_callers_do_not_take_are_bounded(running):
    """The callers that hold the most are given up, those that read are not."""
    serving = Serving(running, bytes(8 * MB))
    slow = [serving.connect() for _ in range(12)]
    reader = serving.connect()
    for sock in (*slow, reader):
        sock.sendall(head(0))
    waiting.until(lambda: len(serving.exchanges) == 13)
    with memory.growth():
        serving.answer_all()
        received = 0
        while received < 8 * MB and (data := reader.recv(65536)):
            received += len(data)
    assert received >= 8 * MB
    waiting.until(lambda: len(serving.server) <= 1 + body_budget.MAX_UNSENT_BYTES // (4 * MB))
    total = running.call(lambda: sum(len(c._send_buffer) for c in serving.server._connections))
    assert total <= body_budget.MAX_UNSENT_BYTES
    for sock in (*slow, reader):
        sock.close()


def test_a_caller_is_told_to_send_its_body(serving):
    """An exception was logged in place of the response, and the caller waited for its timeout."""
    with serving.connect() as sock:
        sock.sendall(
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n"
        )
        started_s = time.monotonic()
        assert sock.recv(65536).startswith(b"HTTP/1.1 100")
        assert time.monotonic() - started_s < 3.0
        sock.sendall(b"abc")
        waiting.until(lambda: serving.exchanges)
        serving.answer_all()
        assert read_status(sock).startswith(b"HTTP/1.1 200")
