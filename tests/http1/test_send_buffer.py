"""Large bodies must not be copied on their way, and all bytes arrive in order."""

import socket
import threading

from oriolelock.http1 import send_buffer
from tests import memory


class FakeSocket:
    """Accepts ``room`` bytes, then nothing."""

    def __init__(self, room):
        self.room, self.received = room, b""

    def send(self, data):
        if not self.room:
            raise BlockingIOError
        taken = bytes(data[: self.room])
        self.room -= len(taken)
        self.received += taken
        return len(taken)


def test_bytes_are_sent_in_order_in_any_portions():
    buffer, sock = send_buffer.SendBuffer(), FakeSocket(0)
    large = bytes(range(256)) * 1000
    buffer.append(b"head", large, b"")
    buffer.append(b"tail")
    expected = b"head" + large + b"tail"
    assert len(buffer) == len(expected)
    while buffer:
        sock.room = 777
        try:
            buffer.send_to(sock)
        except BlockingIOError:
            assert len(buffer) == len(expected) - len(sock.received)
    assert sock.received == expected


def test_small_parts_leave_together():
    buffer, sent = send_buffer.SendBuffer(), []
    buffer.append(b"head", b"body")
    sock = FakeSocket(100)
    send = sock.send
    sock.send = lambda data: sent.append(bytes(data)) or send(data)
    buffer.send_to(sock)
    assert sent == [b"headbody"]


def test_a_large_body_is_not_copied():
    body = bytes(64 * 2**20)
    left, right = socket.socketpair()
    buffer = send_buffer.SendBuffer()

    def drain():
        count = 0
        while count < len(body):
            count += len(right.recv(2**20))

    reader = threading.Thread(target=drain)
    reader.start()
    with memory.growth() as growth:
        buffer.append(b"head", body)
        buffer.send_to(left)
    reader.join(10)
    left.close()
    right.close()
    assert growth[0] < 16 * 2**20
