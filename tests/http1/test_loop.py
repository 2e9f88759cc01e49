"""Guards against timers that run before what has arrived meanwhile is read."""

import os
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


def run_with_two_ready(on_first):
    """Run a loop whose two sockets are ready at once; returns whose callbacks were called.

    The first one calls ``on_first(loop, other)`` with the socket that is not served yet.
    """
    loop, seen = loops.Loop(), []
    pairs = [socket.socketpair() for _ in range(2)]
    receivers = [receiver for _, receiver in pairs]

    def make_callback(sock):
        def on_ready(events):
            seen.append(sock)
            sock.recv(1)
            if len(seen) == 1:
                on_first(loop, next(other for other in receivers if other is not sock))

        return on_ready

    for sender, receiver in pairs:
        loop.watch(receiver, selectors.EVENT_READ, make_callback(receiver))
        sender.send(b"x")
    loop.call_later(2 * LIMIT_S, loop.stop)
    loop.run()
    for sock in (*receivers, *(sender for sender, _ in pairs)):
        sock.close()
    return seen


def test_socket_that_was_closed_meanwhile_is_not_served():
    """Guards against a connection that this entry closed and that seems to be reset by its peer."""

    def close(loop, other):
        loop.watch(other, 0, None)
        other.close()

    assert len(run_with_two_ready(close)) == 1


def test_event_of_a_closed_socket_is_not_taken_for_one_of_the_next_socket_of_its_number():
    called = []
    opened = []

    def replace(loop, other):
        number = other.fileno()
        loop.watch(other, 0, None)
        other.close()
        # The lowest free number is taken.
        while not opened or opened[-1].fileno() < number:
            opened.append(socket.socket())
        assert opened[-1].fileno() == number
        pair = socket.socketpair()
        os.dup2(pair[0].fileno(), number)
        loop.watch(opened[-1], selectors.EVENT_READ, called.append)
        opened.extend(pair)

    assert len(run_with_two_ready(replace)) == 1
    for sock in opened:
        sock.close()
    assert called == []


def test_socket_that_is_watched_by_another_callback_meanwhile_is_served_by_that_one():
    called = []

    def change(loop, other):
        def on_ready(events):
            called.append(events)
            loop.watch(other, 0, None)

        loop.watch(other, selectors.EVENT_READ, on_ready)

    assert len(run_with_two_ready(change)) == 1
    assert called == [selectors.EVENT_READ]
