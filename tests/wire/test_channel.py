"""Guards against closing connections whose ends are both alive."""

import contextlib
import threading

import pytest

from oriolelock import clock
from oriolelock.wire import channel, errors, heartbeat, hello
from tests.wire import ending_connections

GREETING = hello.Hello(hello.PROTOCOL_VERSION, "test", "token", "a", "entry")


@pytest.fixture
def connected_pair(monkeypatch):
    """Return both ends of a connection with short timeouts: client, then server."""
    accepted_channels = []
    stop_event = threading.Event()

    def handle(conn):
        accepted_channels.append(channel.accept(conn, "b", "test", "token"))
        stop_event.wait(10)

    server = channel.serve(("127.0.0.1", 0), handle)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    client = channel.connect(server.socket.getsockname()[:2], GREETING)
    while not accepted_channels:
        stop_event.wait(0.01)
    # Not before: the threads of the handshake may be woken late.
    monkeypatch.setattr(channel, "HEARTBEAT_INTERVAL_S", 0.05)
    monkeypatch.setattr(channel, "PEER_TIMEOUT_S", 0.3)
    yield client, accepted_channels[0]
    stop_event.set()
    client.close()
    server.shutdown()
    thread.join()


def test_peer_that_only_sends_receives_heartbeats(connected_pair):
    client, server_end = connected_pair
    deadline_s = clock.monotonic_s() + 3 * channel.PEER_TIMEOUT_S
    # The receiver always has a message to read, so recv() never waits.
    stop = threading.Event()

    def receive():
        while not stop.is_set():
            server_end.recv(1.0)

    receiver = threading.Thread(target=receive)
    receiver.start()
    try:
        while clock.monotonic_s() < deadline_s:
            client.send(GREETING)
            assert client.recv(0.01) is None
    finally:
        stop.set()
        client.send(GREETING)
        receiver.join()


def test_unresponsive_peer_times_out(connected_pair):
    client, _ = connected_pair
    with pytest.raises(errors.ChannelClosed, match="silent"):
        client.recv(10.0)


def test_recv_skips_heartbeats(connected_pair):
    client, server_end = connected_pair
    server_end.send(heartbeat.Heartbeat())
    server_end.send(GREETING)
    assert client.recv(1.0) == GREETING


def test_close_does_not_wait_for_blocked_send(connected_pair):
    client, _ = connected_pair
    send_errors = []

    def send():
        try:
            for _ in range(64):
                client.send_bytes(bytes(1_000_000))
        except errors.ChannelClosed as exc:
            send_errors.append(exc)

    sender = threading.Thread(target=send)
    sender.start()
    start_s = clock.monotonic_s()
    with pytest.raises(errors.ChannelClosed, match="silent"):
        while True:
            client.recv(1.0)
    # The server end closes after 10 s, which would also end the blocked send.
    assert clock.monotonic_s() - start_s < 5.0
    sender.join(timeout=5.0)
    assert send_errors


@contextlib.contextmanager
def serving(handle):
    """Serve connections by ``handle(conn)``; yield the address."""
    server = channel.serve(("127.0.0.1", 0), handle)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    try:
        yield server.socket.getsockname()[:2]
    finally:
        server.shutdown()
        thread.join()


def test_refused_handshakes_are_counted():
    """Guards against uncounted refusals of a wrong version or garbage on the internal port."""
    metrics, handled = [], threading.Event()

    def handle(conn):
        channel.accept(conn, "b", "other cluster", "token", metrics.append)
        handled.set()

    with serving(handle) as address:
        with pytest.raises(errors.HandshakeRefused):
            channel.connect(address, GREETING)
        assert handled.wait(10)
    assert metrics == ["wire.refused"]


def test_a_connection_that_ends_as_soon_as_it_is_open_is_an_error_of_the_channel(monkeypatch):
    """It was an OSError, which ended the threads that connect to replicas and to parents."""
    ending_connections.end_first(monkeypatch, 1)
    accepting = serving(lambda conn: channel.accept(conn, "b", "test", "token"))
    with accepting as address, pytest.raises(errors.ChannelClosed):
        channel.connect(address, GREETING)


def test_an_accepted_connection_that_has_ended_is_not_accepted():
    accepted, handled = [], threading.Event()

    def handle(conn):
        conn.socket.close()
        try:
            accepted.append(channel.accept(conn, "b", "test", "token"))
        finally:
            handled.set()

    with serving(handle) as address:
        with pytest.raises(errors.ChannelClosed):
            channel.connect(address, GREETING)
        assert handled.wait(10)
    assert accepted == [None]
