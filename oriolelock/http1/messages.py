"""
oriolelock.http1.messages
~~~~~~~~~~~~~~~~~~~~~~~~~

    Complete HTTP requests and responses.
"""

import dataclasses

__all__ = [
    "BODILESS_STATUSES",
    "Body",
    "FINAL_STATUSES",
    "Headers",
    "Request",
    "Response",
    "find",
    "make_body",
]

# Statuses that a complete response may have (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)

# Responses with these statuses have no body, whatever length they announce.
BODILESS_STATUSES = (204, 304)

# Larger bodies are not copied once they are complete.
MAX_COPIED_BYTES = 64 * 1024

# Not changed once it is part of a message.
Body = bytes | bytearray

# Names in lower case, values without surrounding whitespace.
Headers = tuple[tuple[bytes, bytes], ...]


def find(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None; ``name`` in lower case."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


def make_body(received: bytearray) -> Body:
    """Return a complete body; ``received`` must not be changed afterwards."""
    return bytes(received) if len(received) <= MAX_COPIED_BYTES else received


@dataclasses.dataclass(frozen=True)
class Request:
    """``target``: in origin form; ``received_s``: time of receipt, monotonic seconds."""

    method: bytes
    target: bytes
    headers: Headers
    body: Body = b""
    received_s: float = 0.0

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find(self.headers, name)

    @property
    def path(self) -> bytes:
        """The target without its query."""
        return self.target.partition(b"?")[0]


@dataclasses.dataclass(frozen=True)
class Response:
    """``closes``: whether the connection is closed after the response."""

    status: int
    headers: Headers = ()
    body: Body = b""
    closes: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or None."""
        return find(self.headers, name)
