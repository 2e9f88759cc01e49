"""
oriolelock.wire.hello
~~~~~~~~~~~~~~~~~~~~~

    The handshake: the first message on each connection and the reply to it.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["PROTOCOL_VERSION", "Hello", "HelloReply"]

PROTOCOL_VERSION = 1


@codec.register("hello")
@dataclasses.dataclass(frozen=True)
class Hello:
    """Identifies the connecting process; ``role`` is ``entry``, ``control`` or ``tool``."""

    protocol: int
    cluster: str
    token: str = dataclasses.field(repr=False)
    name: str
    role: str
    incarnation: str = ""


@codec.register("hello-reply")
@dataclasses.dataclass(frozen=True)
class HelloReply:
    """Accepts the connection if ``error`` is empty, else refuses it."""

    name: str
    error: str = ""
