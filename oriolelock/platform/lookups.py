"""
oriolelock.platform.lookups
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The call by which callers ask which entries to use.
"""

import collections.abc
import json
import urllib.parse

from oriolelock.http1 import messages
from oriolelock.model import member

__all__ = ["answer", "question"]

PATH = b"/oriolelock/resolve"
# Well within the longest time that counts; a stopping entry serves on for that long.
TTL = "2s"
HEADERS = ((b"content-type", b"application/json"),)


def question(req: messages.Request) -> tuple[str, str, str] | None:
    """Return host, region and failure domain of the caller; None for another call."""
    if req.path != PATH:
        return None
    query = req.target.partition(b"?")[2].decode("latin-1")
    given = dict(urllib.parse.parse_qsl(query))
    return given.get("name", ""), given.get("region", ""), given.get("zone", "")


def answer(found: collections.abc.Sequence[member.Member]) -> messages.Response:
    """Return the answer that names ``found``, or that none is known."""
    if not found:
        return messages.Response(503, HEADERS, b'{"error":"no entry is known"}')
    data = {"addresses": [item.address for item in found], "ttl": TTL}
    return messages.Response(200, HEADERS, json.dumps(data, separators=(",", ":")).encode())
