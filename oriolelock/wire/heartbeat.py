"""
oriolelock.wire.heartbeat
~~~~~~~~~~~~~~~~~~~~~~~~~

    The message that distinguishes an idle connection from a dead one.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Heartbeat"]


@codec.register("heartbeat")
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Sent after ``HEARTBEAT_INTERVAL_S`` without any other message."""
