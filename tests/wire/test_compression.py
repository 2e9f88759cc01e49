"""Configurations are compressed on their way to entries, if both ends can."""

import contextlib
import socket
import threading

import pytest
import websockets.sync.server

from oriolelock.distribution import messages
from oriolelock.model import configuration, endpoint
from oriolelock.wire import channel, codec, hello

GREETING = hello.Hello(hello.PROTOCOL_VERSION, "test", "token", "a", "entry")
# As in a deployment of hundreds of endpoints.
ENDPOINTS = {
    f"i-{n * 7919 % 2**32:08x}": endpoint.Endpoint(
        f"i-{n * 7919 % 2**32:08x}", "cude12a", f"10.1.64.{n % 250}:8366", "perth", "perth-a", 6, 0
    )
    for n in range(900)
}
SNAPSHOT = messages.Snapshot(configuration.Configuration(5, endpoints=ENDPOINTS), True)


class Counter:
    """Passes one connection on and counts the bytes that the server sends."""

    def __init__(self, target):
        self._target = target
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = self._sock.getsockname()
        self.sent_by_server = 0
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        client, _ = self._sock.accept()
        server = socket.create_connection(self._target)
        threading.Thread(target=self._pass_on, args=(client, server), daemon=True).start()
        self._pass_on(server, client, True)

    def _pass_on(self, source, target, counts=False):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                self.sent_by_server += len(data) if counts else 0
                target.sendall(data)
            target.shutdown(socket.SHUT_RDWR)


def transfer(serve, offer_compression):
    """Return the snapshot as received, and the bytes on the wire."""

    def handle(conn):
        accepted = channel.accept(conn, "b", "test", "token")
        accepted.send(SNAPSHOT)
        # Returns when the client closes.
        with contextlib.suppress(Exception):
            accepted.recv(10.0)

    server = serve(("127.0.0.1", 0), handle)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    counter = Counter(server.socket.getsockname()[:2])
    client = channel.connect(counter.address, GREETING, 5.0, offer_compression)
    try:
        received = client.recv(5.0)
        return received, counter.sent_by_server
    finally:
        client.close()
        server.shutdown()
        thread.join()


def serve_without_compression(address, handle):
    """Serve as revisions up to 1052243 do."""
    return websockets.sync.server.serve(handle, *address, compression=None, ping_interval=None)


def test_a_configuration_takes_a_fraction_of_its_size_on_the_wire():
    """Guards against a restart in which the links of small instances are full for half a second."""
    received, on_wire = transfer(channel.serve, True)
    assert received == SNAPSHOT
    assert on_wire < len(codec.encode(SNAPSHOT)) / 3


@pytest.mark.parametrize(
    ("serve", "offers"), [(serve_without_compression, True), (channel.serve, False)]
)
def test_an_end_that_does_not_compress_gets_plain_messages(serve, offers):
    received, on_wire = transfer(serve, offers)
    assert received == SNAPSHOT
    assert on_wire > len(codec.encode(SNAPSHOT))
