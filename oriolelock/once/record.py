"""
oriolelock.once.record
~~~~~~~~~~~~~~~~~~~~~~

    The at-most-once record as a deterministic state machine.

    ``apply`` changes the state in place. Its result depends on the state, the command and
    ``wall_s`` alone, where ``wall_s`` is the time that the leader wrote into the log, so that
    all replicas agree. The time may go back when the leader changes.
"""

import dataclasses
import re

import cbor2
import sortedcontainers

from oriolelock.once import key_record, messages
from oriolelock.wire import codec, errors

__all__ = ["State", "apply", "encode", "restore"]

RETENTION_S = 86_400.0
MAX_FUTURE_S = 60.0
# An entry dispatches within its lease only; the grace covers the run of a usual operation, so
# that a resend during the run is answered in-progress and not unknown.
GRACE_S = 15.0
MAX_LEASE_S = 60.0
MAX_KEYS = 500_000
MAX_ANSWER_BYTES = 16_384
MAX_ANSWERS_BYTES = 256 * 1024 * 1024
MAX_KEY_LENGTH = 200
MAX_RELEASED = 8
# Keys given back as not run are kept only to recognise late claims. Under a flood they would
# otherwise fill the record with requests that never ran.
MAX_FREE_KEYS = 10_000
BUCKET_S = 60
# Bounds the time that one command spends on expired keys.
MAX_DROPS_PER_COMMAND = 32
KEY_FORMAT = re.compile(r"([0-9]{1,12})-.+", re.ASCII | re.DOTALL)


class State:
    """The keys of one group; not thread-safe. ``max_keys`` must agree on all replicas."""

    def __init__(self, max_keys: int = MAX_KEYS):
        self.max_keys = max_keys
        # Keys created before the horizon are refused. It never goes back, because the keys
        # before it may have been dropped and would otherwise be granted a second time.
        self.horizon_s = 0.0
        self.records: dict[str, key_record.KeyRecord] = {}
        self.free: dict[str, None] = {}
        self.buckets = sortedcontainers.SortedDict()
        self.answer_bytes = 0


def apply(state: State, command: object, wall_s: float) -> tuple[State, object]:
    """Apply a command of ``once.messages`` at Unix time ``wall_s``; return state and result.

    Raises TypeError for any other object.
    """
    handler = _HANDLERS.get(type(command))
    if handler is None:
        raise TypeError(f"not a command on the record: {type(command).__name__}")
    state.horizon_s = max(state.horizon_s, wall_s - RETENTION_S)
    _drop_expired(state)
    created_s = _created_s(command.key)
    if created_s is None or created_s < state.horizon_s:
        return state, messages.KeyExpired()
    return state, handler(state, command, created_s, wall_s)


def _created_s(key):
    match = KEY_FORMAT.fullmatch(key) if len(key) <= MAX_KEY_LENGTH else None
    return int(match[1]) if match else None


def _drop_expired(state):
    for _ in range(MAX_DROPS_PER_COMMAND):
        if not state.buckets:
            return
        start, keys = state.buckets.peekitem(0)
        if (start + 1) * BUCKET_S > state.horizon_s:
            return
        _remove(state, next(reversed(keys)))


def _remove(state, key):
    item = state.records.pop(key)
    state.free.pop(key, None)
    if item.answer:
        state.answer_bytes -= len(item.answer.body)
    bucket = _created_s(key) // BUCKET_S
    del state.buckets[bucket][key]
    if not state.buckets[bucket]:
        del state.buckets[bucket]


def _insert(state, item, created_s) -> bool:
    if len(state.records) >= state.max_keys:
        if not state.free:
            return False
        _remove(state, next(iter(state.free)))
    state.records[item.key] = item
    state.buckets.setdefault(created_s // BUCKET_S, {})[item.key] = None
    return True


def _find(state, key, wall_s):
    item = state.records.get(key)
    if item and item.status == key_record.RUNNING and wall_s > item.until_s:
        item.status = key_record.UNKNOWN
    return item


def _claim(state, command, created_s, wall_s):
    if created_s > wall_s + MAX_FUTURE_S:
        return messages.KeyExpired()
    item = _find(state, command.key, wall_s)
    if item is None:
        item = key_record.KeyRecord(command.key, "", key_record.FREE, "", 0.0, (), None)
        if not _insert(state, item, created_s):
            return messages.RecordFull()
    if item.digest and item.digest != command.digest:
        return messages.KeyMismatch()
    if command.claim_id in item.released:
        return messages.NotHeld()
    if item.status == key_record.FREE:
        return _grant(state, item, command, wall_s)
    return _standing(item, command)


def _grant(state, item, command, wall_s):
    state.free.pop(item.key, None)
    item.status = key_record.RUNNING
    item.digest = command.digest
    item.claim_id = command.claim_id
    item.until_s = wall_s + min(max(command.lease_s, 0.0), MAX_LEASE_S) + GRACE_S
    return messages.Granted()


def _standing(item, command):
    if item.status == key_record.COMPLETE:
        return messages.Recorded(item.answer)
    if item.status == key_record.UNKNOWN:
        return messages.EarlierUnknown()
    if item.claim_id == command.claim_id:
        return messages.Granted()
    return messages.InProgress()


def _complete(state, command, created_s, wall_s):
    item = _find(state, command.key, wall_s)
    if item is None or item.status == key_record.FREE or item.claim_id != command.claim_id:
        return messages.NotHeld()
    if item.status == key_record.COMPLETE:
        return messages.Done()
    answer = command.answer
    total = state.answer_bytes + len(answer.body)
    if len(answer.body) > MAX_ANSWER_BYTES or total > MAX_ANSWERS_BYTES:
        answer = dataclasses.replace(answer, body=b"", too_large=True)
    item.status = key_record.COMPLETE
    item.answer = answer
    state.answer_bytes += len(answer.body)
    return messages.Done()


def _release(state, command, created_s, wall_s):
    item = _find(state, command.key, wall_s)
    if item is None:
        return _release_early(state, command, created_s)
    if command.claim_id in item.released:
        return messages.Done()
    if item.claim_id != command.claim_id:
        return _refuse_later(item, command)
    if item.status != key_record.RUNNING:
        return messages.NotHeld()
    if command.ran:
        item.status = key_record.UNKNOWN
    else:
        item.status = key_record.FREE
        item.claim_id = ""
        _mark_released(state, item, command.claim_id)
    return messages.Done()


def _release_early(state, command, created_s):
    """A release that overtook its claim: the claim must not be granted when it arrives."""
    if command.ran:
        return messages.NotHeld()
    item = key_record.KeyRecord(command.key, "", key_record.FREE, "", 0.0, (), None)
    if _insert(state, item, created_s):
        _mark_released(state, item, command.claim_id)
    return messages.Done()


def _refuse_later(item, command):
    if not command.ran:
        item.released = (*item.released, command.claim_id)[-MAX_RELEASED:]
    return messages.NotHeld()


def _mark_released(state, item, claim_id):
    item.released = (*item.released, claim_id)[-MAX_RELEASED:]
    state.free[item.key] = None
    if len(state.free) > MAX_FREE_KEYS:
        _remove(state, next(iter(state.free)))


def encode(state: State) -> bytes:
    """Return the state as CBOR, for a snapshot."""
    rows = cbor2.dumps([key_record.to_row(item) for item in state.records.values()])
    return codec.encode(
        key_record.RecordSnapshot(state.horizon_s, state.max_keys, rows, tuple(state.free))
    )


def restore(data: bytes) -> State:
    """Return the state in a snapshot; raises DecodeError of the wire layer."""
    snapshot = codec.decode(data)
    if not isinstance(snapshot, key_record.RecordSnapshot):
        raise errors.DecodeError(f"not a snapshot of the record: {type(snapshot).__name__}")
    try:
        records = [key_record.from_row(row) for row in cbor2.loads(snapshot.rows)]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise errors.DecodeError(f"record-snapshot.rows: {exc}") from exc
    state = State(snapshot.max_keys)
    state.horizon_s = snapshot.horizon_s
    for item in records:
        state.records[item.key] = item
        state.buckets.setdefault(_created_s(item.key) // BUCKET_S, {})[item.key] = None
        state.answer_bytes += len(item.answer.body) if item.answer else 0
    state.free = dict.fromkeys(snapshot.free)
    return state


_HANDLERS = {
    messages.ClaimKey: _claim,
    messages.CompleteKey: _complete,
    messages.ReleaseKey: _release,
}
