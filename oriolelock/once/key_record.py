"""
oriolelock.once.key_record
~~~~~~~~~~~~~~~~~~~~~~~~~~

    The state of one idempotency key, and its row in a snapshot.
"""

import dataclasses

from oriolelock.once import messages
from oriolelock.wire import codec

__all__ = [
    "COMPLETE",
    "FREE",
    "RUNNING",
    "UNKNOWN",
    "KeyRecord",
    "RecordSnapshot",
    "from_row",
    "to_row",
]

RUNNING = "running"
COMPLETE = "complete"
UNKNOWN = "unknown"
FREE = "free"


@dataclasses.dataclass
class KeyRecord:
    """The state of one key.

    ``claim_expires_s``: Unix time after which the outcome of a running claim is unknown.
    ``digest`` is empty when the key is known only from a release that arrived before its claim.
    ``released_claim_ids``: the latest claims that were released as not run; they are never
    granted again.
    """

    key: str
    digest: str
    status: str
    claim_id: str
    claim_expires_s: float
    released_claim_ids: tuple[str, ...]
    answer: messages.Answer | None


@codec.register("record-snapshot")
@dataclasses.dataclass(frozen=True)
class RecordSnapshot:
    """All keys of a group.

    ``rows``: CBOR array of all keys in insertion order (see ``to_row``); ``free``: keys in
    release order. The rows are one byte string because the wire codec checks each field, which
    blocked the replica for 5.3 s with 100,000 keys.
    """

    horizon_s: float
    max_keys: int
    rows: bytes
    free: tuple[str, ...]


def to_row(record: KeyRecord) -> list:
    """Return the fields as a list in the order of KeyRecord; the answer is a list or None."""
    answer = record.answer
    answer_fields = (
        [answer.status, answer.content_type, answer.body, answer.too_large] if answer else None
    )
    return [
        record.key,
        record.digest,
        record.status,
        record.claim_id,
        record.claim_expires_s,
        list(record.released_claim_ids),
        answer_fields,
    ]


def from_row(row: list) -> KeyRecord:
    """Return the KeyRecord of a row; raises TypeError or ValueError if it is malformed."""
    key, digest, status, claim_id, claim_expires_s, released_claim_ids, answer_fields = row
    answer = messages.Answer(*answer_fields) if answer_fields else None
    return KeyRecord(
        key, digest, status, claim_id, claim_expires_s, tuple(released_claim_ids), answer
    )
