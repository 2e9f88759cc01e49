"""Guards against a result that is reported for a command that another leader replaced."""

from oriolelock.consensus import messages, outputs
from oriolelock.control import messages as control_messages
from oriolelock.control import requests, unavailable


def entry(index, term):
    return messages.Entry(index, term, "command", b"")


def propose(item, request_id, index, term):
    fut = item.add(request_id)
    item.proposed(outputs.Proposed(request_id, index, term))
    return fut


def test_result_belongs_to_the_entry_of_the_same_term():
    item = requests.Requests()
    kept, replaced = propose(item, "1", 5, 2), propose(item, "2", 6, 2)
    item.applied(entry(5, 2), "result")
    item.applied(entry(6, 3), "of another")
    assert kept.result(0) == "result"
    assert replaced.result(0).retry


def test_result_lost_in_a_snapshot_may_not_be_retried_blindly():
    item = requests.Requests()
    fut = propose(item, "1", 5, 2)
    item.restored(7)
    assert fut.result(0) == unavailable.Unavailable(requests.LOST_TEXT, retry=False)


def test_rejected_request_may_be_retried():
    item = requests.Requests()
    fut = item.add("1")
    item.rejected(outputs.Rejected("1", "b", "not-leader"))
    assert fut.result(0) == unavailable.Unavailable("not-leader", retry=True)


def test_read_waits_until_its_index_is_applied():
    item = requests.Requests()
    fut = item.add("1")
    item.read_ready(outputs.ReadReady("1", 9))
    item.finish_waiting(8)
    assert not fut.done()
    item.finish_waiting(9)
    assert fut.result(0) == control_messages.Confirmed(9)
