"""Tests that nothing is dispatched outside the lease and that every key is released."""

import pytest

from oriolelock import clock
from oriolelock.distribution import errors
from oriolelock.once import client, messages
from tests import waiting


class FakeRecord:
    """Returns or raises the listed replies in turn, then returns Done."""

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
    once_client = client.Client("a", record.call)
    return once_client, once_client.claim("1-k", "digest", clock.monotonic_s() + wait_s)


def test_claim_without_reply_is_resent_with_the_same_id():
    record = FakeRecord(errors.CallTimeout("t"), errors.Disconnected("d"), messages.Granted())
    once_client, result = claim(record)
    assert isinstance(result, client.Claim)
    assert len(record.calls) == 3
    assert {c.claim_id for c in record.calls} == {result.claim_id}
    once_client.close()


def test_lease_counts_from_before_the_first_send(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(clock, "monotonic_s", lambda: now[0])

    def call(payload, timeout_s):
        now[0] += 2.0
        return messages.Granted()

    once_client = client.Client("a", call)
    result = once_client.claim("1-k", "digest", 110.0)
    assert result.lease_end_s == 100.0 + client.LEASE_S
    assert result.may_dispatch(104.0)
    assert not result.may_dispatch(105.0)
    once_client.close()


def test_unanswered_claim_is_released_as_not_run():
    record = FakeRecord(*[errors.CallTimeout("t")] * 100)
    once_client, result = claim(record, 0.2)
    assert isinstance(result, client.Unreachable)
    waiting.until(lambda: isinstance(record.calls[-1], messages.ReleaseKey))
    assert (record.calls[-1].claim_id, record.calls[-1].ran) == (record.calls[0].claim_id, False)
    once_client.close()


@pytest.mark.parametrize("reply", [messages.InProgress(), messages.RecordFull()])
def test_other_replies_are_returned_unchanged(reply):
    once_client, result = claim(FakeRecord(reply))
    assert result == reply
    once_client.close()


def test_completion_is_resent_until_acknowledged():
    record = FakeRecord(messages.Granted(), errors.Disconnected("d"), messages.Done())
    once_client, result = claim(record)
    once_client.complete(result, 200, "text/x", b"x" * (client.MAX_BODY_BYTES + 1))
    waiting.until(lambda: len(record.calls) == 3)
    assert record.calls[2].answer == messages.Answer(200, "text/x", b"", True)
    once_client.close()


def test_claim_fails_at_once_while_cut_off_from_control():
    """Otherwise a caller with a long deadline waits for a record that can't be reached."""
    calls = []
    once_client = client.Client("e", lambda msg, timeout_s: calls.append(msg), lambda: True)
    assert once_client.claim("1-k", "d", clock.monotonic_s() + 60) == client.Unreachable()
    assert calls == []
    once_client.close()
