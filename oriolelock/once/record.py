"""
oriolelock.once.record
~~~~~~~~~~~~~~~~~~~~~~

    The at-most-once record as a deterministic state machine.

    ``apply`` changes the state in place. Its result depends only on the state, the command and
    ``wall_s``, the time that the leader wrote into the log, so that all replicas agree. This
    time may go back when the leader changes.
"""

import dataclasses
import re

import cbor2
import sortedcontainers

from oriolelock.once import key_record, messages
from oriolelock.wire import codec, errors

__all__ = ["State", "apply", "encode", "restore"]

RETENTION_S = 86_400.0
MAX_CLOCK_SKEW_S = 60.0
# An entry dispatches only within its lease. The grace period covers the run time of a usual
# operation, so that a resend during the run is answered with in-progress, not with unknown.
EXPIRY_GRACE_S = 15.0
MAX_LEASE_S = 60.0
MAX_KEYS = 500_000
MAX_ANSWER_BYTES = 16_384
MAX_TOTAL_ANSWER_BYTES = 256 * 1024 * 1024
MAX_KEY_LENGTH = 200
MAX_RELEASED_CLAIM_IDS = 8
# Keys released as not run are kept only to recognise late claims. Without a limit, overload
# would fill the record with requests that never ran.
MAX_FREE_KEYS = 10_000
BUCKET_WIDTH_S = 60
# Bounds the time that one command spends on removing expired keys.
MAX_EXPIRED_PER_COMMAND = 32
KEY_FORMAT = re.compile(r"([0-9]{1,12})-.+", re.ASCII | re.DOTALL)


class State:
    """The keys of one group; not thread-safe. ``max_keys`` must be the same on all replicas."""

    def __init__(self, max_keys: int = MAX_KEYS):
        self.max_keys = max_keys
        # Keys created before the horizon are refused. It never decreases: keys before it may have
        # been removed, and would otherwise be granted a second time.
        self.horizon_s = 0.0
        self.records: dict[str, key_record.KeyRecord] = {}
        self.free_keys: dict[str, None] = {}
        self.keys_by_bucket = sortedcontainers.SortedDict()
        self.answer_bytes = 0


def apply(state: State, command: object, wall_s: float) -> tuple[State, object]:
    """Apply a command of ``once.messages`` at Unix time ``wall_s``; return state and result.

    Raises TypeError for any other object.
    """
    handler = _HANDLERS.get(type(command))
    if handler is None:
        raise TypeError(f"not a command on the record: {type(command).__name__}")
    state.horizon_s = max(state.horizon_s, wall_s - RETENTION_S)
    _remove_expired(state)
    created_s = _parse_created_s(command.key)
    if created_s is None or created_s < state.horizon_s:
        return state, messages.KeyExpired()
    return state, handler(state, command, created_s, wall_s)


def _parse_created_s(key):
    match = KEY_FORMAT.fullmatch(key) if len(key) <= MAX_KEY_LENGTH else None
    return int(match[1]) if match else None


def _remove_expired(state):
    for _ in range(MAX_EXPIRED_PER_COMMAND):
        if not state.keys_by_bucket:
            return
        bucket, keys = state.keys_by_bucket.peekitem(0)
        if (bucket + 1) * BUCKET_WIDTH_S > state.horizon_s:
            return
        _remove(state, next(reversed(keys)))


def _remove(state, key):
    record = state.records.pop(key)
    state.free_keys.pop(key, None)
    if record.answer:
        state.answer_bytes -= len(record.answer.body)
    bucket = _parse_created_s(key) // BUCKET_WIDTH_S
    del state.keys_by_bucket[bucket][key]
    if not state.keys_by_bucket[bucket]:
        del state.keys_by_bucket[bucket]


def _insert(state, record, created_s) -> bool:
    if len(state.records) >= state.max_keys:
        if not state.free_keys:
            return False
        _remove(state, next(iter(state.free_keys)))
    state.records[record.key] = record
    state.keys_by_bucket.setdefault(created_s // BUCKET_WIDTH_S, {})[record.key] = None
    return True


def _get_record(state, key, wall_s):
    record = state.records.get(key)
    if record and record.status == key_record.RUNNING and wall_s > record.claim_expires_s:
        record.status = key_record.UNKNOWN
    return record


def _claim(state, command, created_s, wall_s):
    if created_s > wall_s + MAX_CLOCK_SKEW_S:
        return messages.KeyExpired()
    record = _get_record(state, command.key, wall_s)
    if record is None:
        record = key_record.KeyRecord(command.key, "", key_record.FREE, "", 0.0, (), None)
        if not _insert(state, record, created_s):
            return messages.RecordFull()
    if record.digest and record.digest != command.digest:
        return messages.KeyMismatch()
    if command.claim_id in record.released_claim_ids:
        return messages.NotHeld()
    if record.status == key_record.FREE:
        return _grant(state, record, command, wall_s)
    return _result_for_held_key(record, command)


def _grant(state, record, command, wall_s):
    state.free_keys.pop(record.key, None)
    record.status = key_record.RUNNING
    record.digest = command.digest
    record.claim_id = command.claim_id
    record.claim_expires_s = wall_s + min(max(command.lease_s, 0.0), MAX_LEASE_S) + EXPIRY_GRACE_S
    return messages.Granted()


def _result_for_held_key(record, command):
    if record.status == key_record.COMPLETE:
        return messages.Recorded(record.answer)
    if record.status == key_record.UNKNOWN:
        return messages.EarlierUnknown()
    if record.claim_id == command.claim_id:
        return messages.Granted()
    return messages.InProgress()


def _complete(state, command, created_s, wall_s):
    record = _get_record(state, command.key, wall_s)
    if record is None or record.status == key_record.FREE or record.claim_id != command.claim_id:
        return messages.NotHeld()
    if record.status == key_record.COMPLETE:
        return messages.Done()
    answer = command.answer
    total_bytes = state.answer_bytes + len(answer.body)
    if len(answer.body) > MAX_ANSWER_BYTES or total_bytes > MAX_TOTAL_ANSWER_BYTES:
        answer = dataclasses.replace(answer, body=b"", too_large=True)
    record.status = key_record.COMPLETE
    record.answer = answer
    state.answer_bytes += len(answer.body)
    return messages.Done()


def _release(state, command, created_s, wall_s):
    record = _get_record(state, command.key, wall_s)
    if record is None:
        return _release_before_claim(state, command, created_s)
    if command.claim_id in record.released_claim_ids:
        return messages.Done()
    if record.claim_id != command.claim_id:
        return _block_claim(record, command)
    if record.status != key_record.RUNNING:
        return messages.NotHeld()
    if command.ran:
        record.status = key_record.UNKNOWN
    else:
        record.status = key_record.FREE
        record.claim_id = ""
        _mark_released(state, record, command.claim_id)
    return messages.Done()


def _release_before_claim(state, command, created_s):
    """Handle a release that arrived before its claim, which must not be granted later."""
    if command.ran:
        return messages.NotHeld()
    record = key_record.KeyRecord(command.key, "", key_record.FREE, "", 0.0, (), None)
    if _insert(state, record, created_s):
        _mark_released(state, record, command.claim_id)
    return messages.Done()


def _block_claim(record, command):
    if not command.ran:
        record.released_claim_ids = (*record.released_claim_ids, command.claim_id)[
            -MAX_RELEASED_CLAIM_IDS:
        ]
    return messages.NotHeld()


def _mark_released(state, record, claim_id):
    record.released_claim_ids = (*record.released_claim_ids, claim_id)[-MAX_RELEASED_CLAIM_IDS:]
    state.free_keys[record.key] = None
    if len(state.free_keys) > MAX_FREE_KEYS:
        _remove(state, next(iter(state.free_keys)))


def encode(state: State) -> bytes:
    """Return the state as the CBOR bytes of a snapshot."""
    rows = cbor2.dumps([key_record.to_row(record) for record in state.records.values()])
    return codec.encode(
        key_record.RecordSnapshot(state.horizon_s, state.max_keys, rows, tuple(state.free_keys))
    )


def restore(data: bytes) -> State:
    """Return the state of a snapshot; raises ``wire.errors.DecodeError`` if it is malformed."""
    snapshot = codec.decode(data)
    if not isinstance(snapshot, key_record.RecordSnapshot):
        raise errors.DecodeError(f"not a record snapshot: {type(snapshot).__name__}")
    try:
        records = [key_record.from_row(row) for row in cbor2.loads(snapshot.rows)]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise errors.DecodeError(f"record-snapshot.rows: {exc}") from exc
    state = State(snapshot.max_keys)
    state.horizon_s = snapshot.horizon_s
    for record in records:
        state.records[record.key] = record
        state.keys_by_bucket.setdefault(_parse_created_s(record.key) // BUCKET_WIDTH_S, {})[
            record.key
        ] = None
        state.answer_bytes += len(record.answer.body) if record.answer else 0
    state.free_keys = dict.fromkeys(snapshot.free)
    return state


_HANDLERS = {
    messages.ClaimKey: _claim,
    messages.CompleteKey: _complete,
    messages.ReleaseKey: _release,
}
