"""A queue that is bounded by number alone holds any number of bytes."""

import threading

from oriolelock.wire import send_queue


def test_messages_beyond_the_bytes_are_dropped():
    queue = send_queue.SendQueue(1000, 100)
    assert [queue.put(bytes(40)) for _ in range(4)] == [True, True, False, False]
    assert queue.get() == bytes(40)
    assert queue.put(bytes(60))
    assert len(queue) == 2


def test_messages_beyond_the_number_are_dropped():
    queue = send_queue.SendQueue(2, 1000)
    assert [queue.put(b"") for _ in range(3)] == [True, True, False]


def test_a_message_larger_than_the_bytes_passes_alone():
    queue = send_queue.SendQueue(1000, 100)
    assert queue.put(bytes(500))
    assert not queue.put(b"x")
    assert queue.get() == bytes(500)
    assert queue.put(b"x")


def test_closing_ends_the_thread_that_waits():
    queue = send_queue.SendQueue(1000, 100)
    taken = []
    thread = threading.Thread(target=lambda: taken.append(queue.get()))
    thread.start()
    queue.close()
    thread.join(5)
    assert taken == [None]
    assert not queue.put(b"late")
