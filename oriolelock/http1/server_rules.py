"""
oriolelock.http1.server_rules
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Callbacks and limits by which a program configures its HTTP server.
"""

import collections.abc
import dataclasses

from oriolelock.http1 import body_budget
from oriolelock.model import request_limits

__all__ = ["ServerRules"]


@dataclasses.dataclass
class ServerRules:
    """``handle(exchange)`` must eventually reply; ``limits()`` returns the request limits;
    ``refused(status, text)`` is called for invalid requests; while ``is_leaving()`` is true,
    connections close after their next response; ``closed(conn)`` is called for closed connections.
    ``bodies``: of what connections hold, to be shared by the servers of a process.
    """

    handle: collections.abc.Callable
    limits: collections.abc.Callable[[], request_limits.RequestLimits]
    refused: collections.abc.Callable[[int, str], None] = lambda status, text: None
    is_leaving: collections.abc.Callable[[], bool] = lambda: False
    closed: collections.abc.Callable = lambda conn: None
    bodies: body_budget.BodyBudget = dataclasses.field(default_factory=body_budget.BodyBudget)
