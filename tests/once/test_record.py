"""Tests that no request runs twice and that no key is lost or stays claimed for ever."""

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oriolelock.once import key_record, record
from oriolelock.once import messages as m
from oriolelock.wire import codec, errors

T0 = 1_000_000.0


def claim(claim_id="c1", key="1000000-a", digest="d"):
    return m.ClaimKey(key, digest, "entry", claim_id, 5.0)


def apply_all(state, *commands, wall_s=T0):
    return [type(record.apply(state, command, wall_s)[1]).__name__ for command in commands]


def release(claim_id="c1", key="1000000-a", ran=False):
    return m.ReleaseKey(key, claim_id, ran)


def complete(claim_id="c1", key="1000000-a", body=b"x"):
    return m.CompleteKey(key, claim_id, m.Answer(200, "text/plain", body))


def test_key_is_granted_once_and_a_resent_claim_is_recognised():
    state = record.State()
    assert apply_all(state, claim(), claim(), claim("c2")) == ["Granted", "Granted", "InProgress"]
    assert apply_all(state, claim("c2", digest="other")) == ["KeyMismatch"]
    assert apply_all(state, complete(), complete("c2"), claim("c2")) == [
        "Done",
        "NotHeld",
        "Recorded",
    ]


def test_expired_claim_is_never_granted_again_but_a_late_answer_is_stored():
    state = record.State()
    apply_all(state, claim())
    expires_s = T0 + 5 + record.EXPIRY_GRACE_S
    assert apply_all(state, claim("c2"), wall_s=expires_s) == ["InProgress"]
    assert apply_all(state, claim("c2"), wall_s=expires_s + 1) == ["EarlierUnknown"]
    assert apply_all(state, claim("c2"), release(), wall_s=T0) == ["EarlierUnknown", "NotHeld"]
    assert apply_all(state, complete("c2"), complete(), claim("c2")) == [
        "NotHeld",
        "Done",
        "Recorded",
    ]


def test_released_claim_frees_the_key_but_is_not_granted_when_it_arrives_late():
    state = record.State()
    assert apply_all(state, claim(), release(), claim()) == ["Granted", "Done", "NotHeld"]
    assert apply_all(state, claim("c2"), release("c2", ran=True)) == ["Granted", "Done"]
    assert apply_all(state, claim("c3")) == ["EarlierUnknown"]
    early = record.State()
    assert apply_all(early, release(), claim(), claim("c2")) == ["Done", "NotHeld", "Granted"]


@pytest.mark.parametrize("key", ["-a", "x-a", "1000000", "1000061-a", "913599-a", "9" * 13 + "-a"])
def test_key_outside_the_retention_is_refused(key):
    assert apply_all(record.State(), claim(key=key)) == ["KeyExpired"]


def test_removed_key_is_not_granted_again_when_the_clock_goes_back():
    state = record.State()
    apply_all(state, claim())
    apply_all(state, claim(key="1086500-b"), wall_s=T0 + record.RETENTION_S + 100)
    assert len(state.records) == 1
    assert apply_all(state, claim("c2")) == ["KeyExpired"]


def test_full_record_refuses_new_keys_and_evicts_only_released_ones():
    state = record.State(max_keys=2)
    apply_all(state, claim(key="1000000-b"), claim())
    assert apply_all(state, claim(key="1000000-c")) == ["RecordFull"]
    assert apply_all(state, release(), claim(key="1000000-c")) == ["Done", "Granted"]
    assert apply_all(state, claim(key="1000000-b", claim_id="c2")) == ["InProgress"]


def test_large_answer_is_marked_and_its_body_not_stored():
    state = record.State()
    apply_all(state, claim(), complete(body=b"x" * (record.MAX_ANSWER_BYTES + 1)))
    answer = record.apply(state, claim("c2"), T0)[1].answer
    assert answer.too_large and answer.body == b"" and state.answer_bytes == 0


def test_damaged_snapshot_is_refused():
    for rows in (b"", b"\xff", cbor2.dumps([["short"]]), cbor2.dumps(7)):
        data = codec.encode(key_record.RecordSnapshot(0.0, 1, rows, ()))
        with pytest.raises(errors.DecodeError):
            record.restore(data)


KEYS = st.sampled_from(["1000000-a", "1000000-b", "1000030-a"])
IDS = st.sampled_from(["c1", "c2", "c3"])
COMMANDS = st.one_of(
    st.builds(claim, IDS, KEYS),
    st.builds(complete, IDS, KEYS),
    st.builds(release, IDS, KEYS, st.booleans()),
)
STEPS = st.lists(st.tuples(COMMANDS, st.floats(0, 60)), max_size=40)


@settings(derandomize=True, database=None, deadline=None, max_examples=300)
@given(STEPS, st.integers(0, 40))
def test_no_second_grant_without_a_release_and_replicas_agree_after_a_snapshot(steps, snapshot_at):
    state = record.State(max_keys=2)
    replica = record.State(max_keys=2)
    holders = {}
    for step, (command, offset_s) in enumerate(steps):
        if step == snapshot_at:
            replica = record.restore(record.encode(replica))
        result = record.apply(state, command, T0 + offset_s)[1]
        assert record.apply(replica, command, T0 + offset_s)[1] == result
        if isinstance(result, m.Granted):
            assert holders.setdefault(command.key, command.claim_id) == command.claim_id
        freed = isinstance(command, m.ReleaseKey) and not command.ran
        if freed and isinstance(result, m.Done) and holders.get(command.key) == command.claim_id:
            del holders[command.key]
    assert record.encode(state) == record.encode(replica)
