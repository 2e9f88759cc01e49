"""
oriolelock.once.messages
~~~~~~~~~~~~~~~~~~~~~~~~

    Commands to the at-most-once record, and their results.
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
    """The endpoint's answer. ``too_large``: the body exceeded the limit and is left out."""

    status: int
    content_type: str
    body: bytes
    too_large: bool = False


@codec.register("claim-key")
@dataclasses.dataclass(frozen=True)
class ClaimKey:
    """Asks for the right to run the request with ``key``.

    ``claim_id`` is unique, so that a resent claim is recognised; ``digest`` covers service,
    operation, method, path and body.
    """

    key: str
    digest: str
    entry: str
    claim_id: str
    lease_s: float


@codec.register("complete-key")
@dataclasses.dataclass(frozen=True)
class CompleteKey:
    """Stores the answer to the request of a granted claim."""

    key: str
    claim_id: str
    answer: Answer


@codec.register("release-key")
@dataclasses.dataclass(frozen=True)
class ReleaseKey:
    """Releases a claim. ``ran``: False if the request did not run, True if it may have."""

    key: str
    claim_id: str
    ran: bool


@codec.register("granted")
@dataclasses.dataclass(frozen=True)
class Granted:
    """The claim is granted: only this entry may dispatch the request, within the lease."""


@codec.register("in-progress")
@dataclasses.dataclass(frozen=True)
class InProgress:
    """Another claim holds the key and has not ended."""


@codec.register("recorded")
@dataclasses.dataclass(frozen=True)
class Recorded:
    """The request ran; this is its answer."""

    answer: Answer


@codec.register("earlier-unknown")
@dataclasses.dataclass(frozen=True)
class EarlierUnknown:
    """The request of an earlier claim may have run, but its answer is not stored."""


@codec.register("key-mismatch")
@dataclasses.dataclass(frozen=True)
class KeyMismatch:
    """The key was used with a different request."""


@codec.register("key-expired")
@dataclasses.dataclass(frozen=True)
class KeyExpired:
    """The creation time in the key is before the retention period, in the future or invalid."""


@codec.register("record-full")
@dataclasses.dataclass(frozen=True)
class RecordFull:
    """The group has reached its limit of keys."""


@codec.register("not-held")
@dataclasses.dataclass(frozen=True)
class NotHeld:
    """The claim that is to be granted, completed or released does not hold the key."""


@codec.register("done")
@dataclasses.dataclass(frozen=True)
class Done:
    """The command has been applied."""
