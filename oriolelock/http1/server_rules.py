"""
oriolelock.http1.server_rules
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Callbacks and limits by which a program configures its HTTP server.
"""

import collections.abc
import dataclasses

from oriolelock.model import request_limits

__all__ = ["ServerRules"]


@dataclasses.dataclass
class ServerRules:
    """``handle(exchange)`` must eventually reply; ``limits()`` returns the request limits;
    ``refused(status, text)`` is called for invalid requests; while ``is_leaving()`` is true,
    connections close after their next response; ``closed(conn)`` is called for closed connections.
    """

    handle: collections.abc.Callable
    limits: collections.abc.Callable[[], request_limits.RequestLimits]
    refused: collections.abc.Callable[[int, str], None] = lambda status, text: None
    is_leaving: collections.abc.Callable[[], bool] = lambda: False
    closed: collections.abc.Callable = lambda conn: None
