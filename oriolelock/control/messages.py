"""
oriolelock.control.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Messages between control replicas, except status batches.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = [
    "ConfirmRead",
    "Confirmed",
    "Forward",
    "ForwardReply",
    "GroupMessage",
    "Join",
    "SilentEntries",
]


@codec.register("group-message")
@dataclasses.dataclass(frozen=True)
class GroupMessage:
    """A message of the consensus group ``group``.

    ``incarnation`` is the random id of the sender's data folder.
    """

    group: str
    incarnation: str
    msg: object


@codec.register("join")
@dataclasses.dataclass(frozen=True)
class Join:
    """A replica's request to be admitted; other replicas forward it to the leader.

    ``name`` is the replica's link address, ``hops`` how often the request was forwarded.
    """

    name: str
    incarnation: str
    region: str
    failure_domain: str
    hops: int = 0


@codec.register("forward")
@dataclasses.dataclass(frozen=True)
class Forward:
    """A call for the leader of ``group``: a command or ``ConfirmRead``."""

    call_id: str
    group: str
    payload: object


@codec.register("forward-reply")
@dataclasses.dataclass(frozen=True)
class ForwardReply:
    """``result`` is the command's result, ``Confirmed`` or ``Unavailable``."""

    call_id: str
    result: object


@codec.register("confirm-read")
@dataclasses.dataclass(frozen=True)
class ConfirmRead:
    """Asks the leader up to which index a replica must have applied the log to be current."""


@codec.register("confirmed")
@dataclasses.dataclass(frozen=True)
class Confirmed:
    """The state at ``index`` or later was current when the leader received ``ConfirmRead``."""

    index: int


@codec.register("silent-entries")
@dataclasses.dataclass(frozen=True)
class SilentEntries:
    """Tells which entries are silent, with the seconds that the sender has counted.

    Sent only over connections that negotiate it, see ``wire.channel``.
    """

    rows: tuple[tuple[str, float], ...]
