"""
oriolelock.once.messages
~~~~~~~~~~~~~~~~~~~~~~~~

    Commands on the at-most-once record and their results.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = [
    "Answer",
    "ClaimKey",
    "CompleteKey",
    "Done",
    "EarlierUnknown",
    "Granted",
    "InProgress",
    "KeyExpired",
    "KeyMismatch",
    "NotHeld",
    "Recorded",
    "RecordFull",
    "ReleaseKey",
]


@codec.register("answer")
@dataclasses.dataclass(frozen=True)
class Answer:
    """The endpoint's answer. ``too_large``: the body was over the limit and is not kept."""

    status: int
    content_type: str
    body: bytes
    too_large: bool = False


@codec.register("claim-key")
@dataclasses.dataclass(frozen=True)
class ClaimKey:
    """Asks to run the request with ``key``. ``claim_id`` is unique, so that a resent claim
    is recognised; ``digest`` covers service, operation, path and body."""

    key: str
    digest: str
    entry: str
    claim_id: str
    lease_s: float


@codec.register("complete-key")
@dataclasses.dataclass(frozen=True)
class CompleteKey:
    """Stores the answer of a claim that was granted."""

    key: str
    claim_id: str
    answer: Answer


@codec.register("release-key")
@dataclasses.dataclass(frozen=True)
class ReleaseKey:
    """Gives a claim back: the request did not run (``ran`` false), or may have (true)."""

    key: str
    claim_id: str
    ran: bool


@codec.register("granted")
@dataclasses.dataclass(frozen=True)
class Granted:
    """The claim holds: this entry alone may dispatch, within the lease."""


@codec.register("in-progress")
@dataclasses.dataclass(frozen=True)
class InProgress:
    """Another claim on the key is running."""


@codec.register("recorded")
@dataclasses.dataclass(frozen=True)
class Recorded:
    """The request ran; this is its answer."""

    answer: Answer


@codec.register("earlier-unknown")
@dataclasses.dataclass(frozen=True)
class EarlierUnknown:
    """An earlier claim may have run and left no answer."""


@codec.register("key-mismatch")
@dataclasses.dataclass(frozen=True)
class KeyMismatch:
    """The key was used with a different request."""


@codec.register("key-expired")
@dataclasses.dataclass(frozen=True)
class KeyExpired:
    """The key's creation time is outside the retention or in the future."""


@codec.register("record-full")
@dataclasses.dataclass(frozen=True)
class RecordFull:
    """The group holds as many keys as it may."""


@codec.register("not-held")
@dataclasses.dataclass(frozen=True)
class NotHeld:
    """The claim that is completed or released is not the one that holds the key."""


@codec.register("done")
@dataclasses.dataclass(frozen=True)
class Done:
    """The command is applied."""
