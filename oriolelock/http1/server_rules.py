"""
oriolelock.http1.server_rules
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a server asks of the program it serves for.
"""

import collections.abc
import dataclasses

from oriolelock.model import request_limits

__all__ = ["ServerRules"]


@dataclasses.dataclass
class ServerRules:
    """``handle(exchange)`` must answer it sooner or later; ``refused(status, text)`` is told of
    bytes that are no request; ``is_leaving``: connections end after their next answer."""

    handle: collections.abc.Callable
    limits: collections.abc.Callable[[], request_limits.RequestLimits]
    refused: collections.abc.Callable[[int, str], None] = lambda status, text: None
    is_leaving: collections.abc.Callable[[], bool] = lambda: False
    closed: collections.abc.Callable = lambda conn: None
