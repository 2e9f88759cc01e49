"""A connection that is closed because it was idle loses no request."""

import socket
import time

import pytest

from oriolelock.http1 import inbound, messages, server, server_rules
from oriolelock.model import request_limits

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
IDLE_S = 0.3


@pytest.fixture
def caller(running):
    limits = request_limits.RequestLimits(head_ms=1000.0 * IDLE_S, idle_ms=1000.0 * IDLE_S)
    rules = server_rules.ServerRules(
        lambda exchange: exchange.reply(messages.Response(200, (), b"ok")), lambda: limits
    )
    http_server = running.call(lambda: server.Server(running.loop, ("127.0.0.1", 0), rules))
    with socket.create_connection(http_server._sock.getsockname(), 5) as sock:
        sock.settimeout(5)
        yield sock


def _connected_pair():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        caller = socket.create_connection(listener.getsockname())
        return listener.accept()[0], caller


def is_served(sock):
    return sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_request_that_arrives_while_the_process_is_busy_is_answered(running, caller, monkeypatch):
    monkeypatch.setattr(inbound, "DELIVERY_S", 0.0)
    caller.sendall(REQUEST)
    assert is_served(caller)

    def send_while_busy():
        caller.sendall(REQUEST)
        time.sleep(2 * IDLE_S)

    running.call(send_while_busy)
    assert is_served(caller)


def test_first_request_that_arrives_while_the_process_is_busy_is_answered(running, caller):
    def send_while_busy():
        time.sleep(2 * IDLE_S)
        caller.sendall(REQUEST)

    running.call(send_while_busy)
    assert is_served(caller)


def test_caller_that_got_the_response_late_may_use_the_connection_again(caller):
    caller.sendall(REQUEST)
    # The response arrives now, and the caller is idle for less than the limit.
    time.sleep(2.0)
    assert is_served(caller)
    time.sleep(0.8 * IDLE_S)
    caller.sendall(REQUEST)
    assert is_served(caller)


def test_request_that_begins_as_its_time_is_over_is_not_refused(running):
    own, caller = _connected_pair()
    limits = request_limits.RequestLimits()
    rules = server_rules.ServerRules(
        lambda exchange: exchange.reply(messages.Response(200, (), b"ok")), lambda: limits
    )
    conn = running.call(lambda: inbound.Inbound(running.loop, own, rules))

    def begin_and_expire():
        caller.sendall(REQUEST[:10])
        conn._request_expired()

    running.call(begin_and_expire)
    caller.settimeout(5)
    caller.sendall(REQUEST[10:])
    assert is_served(caller)
