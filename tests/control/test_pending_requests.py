"""Guards against reporting a result for a command whose entry another leader replaced."""

from oriolelock.consensus import messages, outputs
from oriolelock.control import messages as control_messages
from oriolelock.control import pending_requests, unavailable


def entry(index, term):
    return messages.Entry(index, term, "command", b"")


def propose(pending, request_id, index, term):
    fut = pending.add(request_id)
    pending.proposed(outputs.Proposed(request_id, index, term))
    return fut


def test_result_belongs_to_the_entry_of_the_same_term():
    pending = pending_requests.PendingRequests()
    kept, replaced = propose(pending, "1", 5, 2), propose(pending, "2", 6, 2)
    pending.applied(entry(5, 2), "result")
    pending.applied(entry(6, 3), "of another")
    assert kept.result(0) == "result"
    assert replaced.result(0).retry


def test_request_covered_by_a_restored_snapshot_is_not_safe_to_retry():
    pending = pending_requests.PendingRequests()
    fut = propose(pending, "1", 5, 2)
    pending.restored(7)
    assert fut.result(0) == unavailable.Unavailable(pending_requests.LOST_TEXT, retry=False)


def test_rejected_request_may_be_retried():
    pending = pending_requests.PendingRequests()
    fut = pending.add("1")
    pending.rejected(outputs.Rejected("1", "b", "not-leader"))
    assert fut.result(0) == unavailable.Unavailable("not-leader", retry=True)


def test_read_waits_until_its_index_is_applied():
    pending = pending_requests.PendingRequests()
    fut = pending.add("1")
    pending.read_ready(outputs.ReadReady("1", 9))
    pending.finish_waiting(8)
    assert not fut.done()
    pending.finish_waiting(9)
    assert fut.result(0) == control_messages.Confirmed(9)
