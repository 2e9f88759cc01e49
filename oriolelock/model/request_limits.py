"""
oriolelock.model.request_limits
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a caller may send, and how long it may take.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["RequestLimits"]


@codec.register("request-limits")
@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Sizes in bytes; ``head_ms``: to send a head; ``idle_ms``: between two requests."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 64 * 1024 * 1024
    head_ms: float = 3000.0
    idle_ms: float = 15_000.0
    document: str = ""
