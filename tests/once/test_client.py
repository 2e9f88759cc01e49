"""Guards against a dispatch outside the lease and against keys that are never given back."""

import pytest

from oriolelock import clock
from oriolelock.distribution import errors
from oriolelock.once import client, messages
from tests import waiting


class Record:
    """Answers calls by a list of replies or errors; then Done."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.calls = []

    def call(self, payload, timeout_s):
        self.calls.append(payload)
        reply = self.replies.pop(0) if self.replies else messages.Done()
        if isinstance(reply, Exception):
            raise reply
        return reply


def claim(record, wait_s=2.0):
    item = client.Client("a", record.call)
    return item, item.claim("1-k", "digest", clock.monotonic_s() + wait_s)


def test_lost_answer_is_asked_for_again_with_the_same_claim():
    record = Record(errors.CallTimeout("t"), errors.Disconnected("d"), messages.Granted())
    item, result = claim(record)
    assert isinstance(result, client.Claim)
    assert len(record.calls) == 3
    assert {c.claim_id for c in record.calls} == {result.claim_id}
    item.close()


def test_lease_counts_from_before_the_first_send(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "monotonic_s", lambda: now[0])

    def call(payload, timeout_s):
        now[0] += 2.0
        return messages.Granted()

    item = client.Client("a", call)
    result = item.claim("1-k", "digest", 110.0)
    assert result.lease_end_s == 100.0 + client.LEASE_S
    assert result.may_dispatch(104.0)
    assert not result.may_dispatch(105.0)
    item.close()


def test_claim_without_answer_is_released_as_not_run():
    record = Record(*[errors.CallTimeout("t")] * 100)
    item, result = claim(record, 0.2)
    assert isinstance(result, client.Unreachable)
    waiting.until(lambda: isinstance(record.calls[-1], messages.ReleaseKey))
    assert (record.calls[-1].claim_id, record.calls[-1].ran) == (record.calls[0].claim_id, False)
    item.close()


@pytest.mark.parametrize("reply", [messages.InProgress(), messages.RecordFull()])
def test_other_answers_are_passed_on(reply):
    item, result = claim(Record(reply))
    assert result == reply
    item.close()


def test_completion_is_repeated_until_recorded():
    record = Record(messages.Granted(), errors.Disconnected("d"), messages.Done())
    item, result = claim(record)
    item.complete(result, 200, "text/x", b"x" * (client.MAX_BODY_BYTES + 1))
    waiting.until(lambda: len(record.calls) == 3)
    assert record.calls[2].answer == messages.Answer(200, "text/x", b"", True)
    item.close()


def test_claim_is_refused_at_once_while_cut_off():
    """A caller with a long deadline must not wait for a record that can't be reached."""
    calls = []
    item = client.Client("e", lambda msg, timeout_s: calls.append(msg), lambda: True)
    assert item.claim("1-k", "d", clock.monotonic_s() + 60) == client.Unreachable()
    assert calls == []
    item.close()
