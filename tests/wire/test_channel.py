"""Guards against connections that are given up although both ends are alive."""

import threading

import pytest

from oriolelock import clock
from oriolelock.wire import channel, errors, heartbeat, hello

GREETING = hello.Hello(hello.PROTOCOL_VERSION, "test", "token", "a", "entry")


@pytest.fixture
def pair(monkeypatch):
    """A connection with short limits: the dialing end and the accepted one."""
    monkeypatch.setattr(channel, "HEARTBEAT_INTERVAL_S", 0.05)
    monkeypatch.setattr(channel, "SILENCE_LIMIT_S", 0.3)
    accepted = []
    finished = threading.Event()

    def handle(conn):
        accepted.append(channel.accept(conn, "b", "test", "token"))
        finished.wait(10)

    server = channel.serve(("127.0.0.1", 0), handle)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    dialed = channel.connect(server.socket.getsockname()[:2], GREETING)
    while not accepted:
        finished.wait(0.01)
    yield dialed, accepted[0]
    finished.set()
    dialed.close()
    server.shutdown()
    thread.join()


def test_peer_that_only_sends_hears_heartbeats(pair):
    dialed, accepted = pair
    end_s = clock.monotonic_s() + 3 * channel.SILENCE_LIMIT_S
    # The receiver always finds a message, so it never waits.
    stop = threading.Event()

    def receive():
        while not stop.is_set():
            accepted.recv(1.0)

    receiver = threading.Thread(target=receive)
    receiver.start()
    try:
        while clock.monotonic_s() < end_s:
            dialed.send(GREETING)
            assert dialed.recv(0.01) is None
    finally:
        stop.set()
        dialed.send(GREETING)
        receiver.join()


def test_silent_peer_is_given_up(pair):
    dialed, _ = pair
    with pytest.raises(errors.ChannelClosed, match="silent"):
        dialed.recv(10.0)


def test_heartbeats_are_not_messages(pair):
    dialed, accepted = pair
    accepted.send(heartbeat.Heartbeat())
    accepted.send(GREETING)
    assert dialed.recv(1.0) == GREETING


def test_close_does_not_wait_for_a_send_that_is_stuck(pair):
    dialed, _ = pair
    stuck = []

    def send():
        try:
            for _ in range(64):
                dialed.send_bytes(bytes(1_000_000))
        except errors.ChannelClosed as exc:
            stuck.append(exc)

    sender = threading.Thread(target=send)
    sender.start()
    began_s = clock.monotonic_s()
    with pytest.raises(errors.ChannelClosed, match="silent"):
        while True:
            dialed.recv(1.0)
    # The other end closes after 10 s, which would end the send as well.
    assert clock.monotonic_s() - began_s < 5.0
    sender.join(timeout=5.0)
    assert stuck


def test_refused_greetings_are_counted():
    """A wrong version or garbage on the port between processes must not go unnoticed."""
    counted, handled = [], threading.Event()

    def handle(conn):
        channel.accept(conn, "b", "other cluster", "token", counted.append)
        handled.set()

    server = channel.serve(("127.0.0.1", 0), handle)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    with pytest.raises(errors.HandshakeRefused):
        channel.connect(server.socket.getsockname()[:2], GREETING)
    assert handled.wait(10)
    server.shutdown()
    thread.join()
    assert counted == ["wire.refused"]
