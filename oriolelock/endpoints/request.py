"""
oriolelock.endpoints.request
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One attempt of a request, as it is sent to an endpoint.
"""

import dataclasses

__all__ = ["Request"]


@dataclasses.dataclass(frozen=True)
class Request:
    """``target`` is path and query as the caller sent them.

    ``first_byte_s`` bounds the wait for the first byte on a kept connection, ``connect_s`` the
    wait for a new one (None: the pool's own limit alone).
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    attempt: int = 1
    first_byte_s: float = 1.0
    connect_s: float | None = None
