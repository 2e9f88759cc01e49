"""
oriolelock.once.key_record
~~~~~~~~~~~~~~~~~~~~~~~~~~

    What the record holds for one idempotency key.
"""

import dataclasses

from oriolelock.once import messages
from oriolelock.wire import codec

__all__ = ["COMPLETE", "FREE", "RUNNING", "UNKNOWN", "KeyRecord", "RecordSnapshot"]

RUNNING = "running"
COMPLETE = "complete"
UNKNOWN = "unknown"
FREE = "free"


@codec.register("key-record")
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
    """All keys in the order of their insertion; ``free`` in the order of their release."""

    horizon_s: float
    max_keys: int
    records: tuple[KeyRecord, ...]
    free: tuple[str, ...]
