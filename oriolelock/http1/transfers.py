"""
oriolelock.http1.transfers
~~~~~~~~~~~~~~~~~~~~~~~~~~

    How sending one request to an endpoint ended.
"""

import dataclasses

from oriolelock.http1 import messages

__all__ = ["Answered", "Lost", "NotSent", "Transfer"]


@dataclasses.dataclass(frozen=True)
class Answered:
    """The whole answer to this request."""

    response: messages.Response


@dataclasses.dataclass(frozen=True)
class NotSent:
    """Not a byte of the request has left; ``refused``: nothing listens at the address."""

    reason: str
    refused: bool = False


@dataclasses.dataclass(frozen=True)
class Lost:
    """The request may have run; ``reason``: what became of its answer."""

    reason: str


Transfer = Answered | NotSent | Lost
