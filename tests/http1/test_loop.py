"""Guards against timers that run before what has arrived meanwhile is read."""

import selectors
import socket
import time

from oriolelock.http1 import loop as loops

LIMIT_S = 0.02


def test_socket_that_was_ready_in_time_is_seen_before_its_timer():
    """A connection that was established while a callback took long would count as timed out."""
    loop, seen = loops.Loop(), []
    sender, receiver = socket.socketpair()
    other_sender, other_receiver = socket.socketpair()

    def on_ready(events):
        seen.append("ready")
        timer.cancel()
        loop.stop()

    def on_timer():
        seen.append("timer")
        loop.stop()

    def take_long(events):
        nonlocal timer
        loop.watch(receiver, 0, take_long)
        timer = loop.call_later(LIMIT_S, on_timer)
        loop.watch(other_receiver, selectors.EVENT_READ, on_ready)
        other_sender.send(b"x")
        time.sleep(2 * LIMIT_S)

    timer = None
    loop.watch(receiver, selectors.EVENT_READ, take_long)
    sender.send(b"x")
    loop.run()
    for sock in (sender, receiver, other_sender, other_receiver):
        sock.close()
    assert seen == ["ready"]
