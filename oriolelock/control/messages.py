"""
oriolelock.control.messages
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Messages between control replicas, besides status batches.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["ConfirmRead", "Confirmed", "Forward", "ForwardReply", "GroupMessage", "Join"]


@codec.register("group-message")
@dataclasses.dataclass(frozen=True)
class GroupMessage:
    """A message of the consensus group ``group``; ``incarnation`` is the sender's."""

    group: str
    incarnation: str
    msg: object


@codec.register("join")
@dataclasses.dataclass(frozen=True)
class Join:
    """A replica asks to be admitted; replicas pass this on to the leader.

    ``name`` is its link address. ``hops``: how often it was passed on.
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
    """Asks the leader up to which index the state must be applied to be current."""


@codec.register("confirmed")
@dataclasses.dataclass(frozen=True)
class Confirmed:
    """State at ``index`` or later was current when the call came in."""

    index: int
