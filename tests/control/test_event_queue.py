"""While a group's thread waits for its disk, peers must not fill the memory of the process."""

from oriolelock import clock
from oriolelock.consensus import events, messages
from oriolelock.control import event_queue

MB = 1024 * 1024


def append(size):
    entries = (messages.Entry(1, 1, "command", bytes(size)),)
    return events.Received("c2", "i", messages.Append(1, 0, 0, 0, 1, entries))


def chunk(size):
    membership = messages.Membership(())
    return events.Received(
        "c2", "i", messages.InstallSnapshot(1, 1, 1, membership, 0, bytes(size), False)
    )


def test_queue_is_bounded_by_bytes():
    for make in (append, chunk, lambda size: events.Propose("1", bytes(size))):
        queue = event_queue.EventQueue()
        accepted = sum(queue.put(make(MB)) for _ in range(100))
        assert accepted == event_queue.MAX_QUEUED_BYTES // MB
        # What takes no memory is not held up by what does.
        assert queue.put(events.Tick())
        assert len(queue.take(clock.monotonic_s())) == accepted + 1
        assert queue.put(make(MB))


def test_a_larger_event_passes_alone():
    queue = event_queue.EventQueue()
    assert queue.put(append(2 * event_queue.MAX_QUEUED_BYTES))
    assert not queue.put(append(1))
    assert len(queue.take(clock.monotonic_s())) == 1
    assert queue.take(clock.monotonic_s()) == []
