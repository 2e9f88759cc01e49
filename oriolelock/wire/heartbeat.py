"""
oriolelock.wire.heartbeat
~~~~~~~~~~~~~~~~~~~~~~~~~

    Keeps a quiet connection distinguishable from a dead one.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Heartbeat"]


@codec.register("heartbeat")
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """Sent each ``HEARTBEAT_INTERVAL_S`` when nothing else is."""
