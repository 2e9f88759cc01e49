"""
oriolelock.once.key_record
~~~~~~~~~~~~~~~~~~~~~~~~~~

    What the record holds for one idempotency key.
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
    """``until_s``: Unix time after which a running claim counts as lost.

    ``digest`` is empty when the key is known only from a release that overtook its claim.
    ``released``: latest claim ids that were given back as not run; never granted again.
    """

    key: str
    digest: str
    status: str
    claim_id: str
    until_s: float
    released: tuple[str, ...]
    answer: messages.Answer | None


@codec.register("record-snapshot")
@dataclasses.dataclass(frozen=True)
class RecordSnapshot:
    """``rows``: CBOR array of all keys in the order of their insertion (see ``to_row``);
    ``free``: keys in the order of their release.

    The rows are one byte string because the checks of the wire codec on each field took
    5.3 s for 100,000 keys, during which the replica can't serve.
    """

    horizon_s: float
    max_keys: int
    rows: bytes
    free: tuple[str, ...]


def to_row(item: KeyRecord) -> list:
    """Return the fields in order; the answer as a list or None."""
    answer = item.answer
    plain = [answer.status, answer.content_type, answer.body, answer.too_large] if answer else None
    return [
        item.key,
        item.digest,
        item.status,
        item.claim_id,
        item.until_s,
        list(item.released),
        plain,
    ]


def from_row(row: list) -> KeyRecord:
    """Return the record in a row; raises TypeError or ValueError when the shape is wrong."""
    key, digest, status, claim_id, until_s, released, plain = row
    answer = messages.Answer(*plain) if plain else None
    return KeyRecord(key, digest, status, claim_id, until_s, tuple(released), answer)
