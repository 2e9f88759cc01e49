"""
oriolelock.endpoints.request
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    One attempt of a request, as sent to an endpoint.
"""

import dataclasses

__all__ = ["Request"]


@dataclasses.dataclass(frozen=True)
class Request:
    """Request to an endpoint; ``target`` is path and query as sent by the caller.

    ``first_byte_timeout_s`` bounds the wait for the first byte on a reused connection,
    ``connect_timeout_s`` the wait for a new connection (None: only the pool timeout applies).
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    attempt: int = 1
    first_byte_timeout_s: float = 1.0
    connect_timeout_s: float | None = None
