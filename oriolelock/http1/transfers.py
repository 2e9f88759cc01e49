"""
oriolelock.http1.transfers
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Outcomes of sending one request to an endpoint.
"""

import dataclasses

from oriolelock.http1 import messages

__all__ = ["Answered", "Lost", "NotSent", "Transfer"]


@dataclasses.dataclass(frozen=True)
class Answered:
    """A complete response to this request."""

    response: messages.Response


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent; ``refused``: the connection could not be opened."""

    reason: str
    refused: bool = False


@dataclasses.dataclass(frozen=True)
class Lost:
    """The request may have run; ``reason``: why there is no response."""

    reason: str


Transfer = Answered | NotSent | Lost
