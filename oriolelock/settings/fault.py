"""
oriolelock.settings.fault
~~~~~~~~~~~~~~~~~~~~~~~~~

    One fault of a stand-in, from a settings file or from ``POST /faults``.
"""

import dataclasses

from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["CRASH_MODES", "KINDS", "Fault", "parse"]

# kind -> meaning
KINDS = {
    "cold": "cold start for ``delay``, service time times ``factor`` at its beginning",
    "crash": "dies while it runs the request; ``mode``: exit the process, or close the listener",
    "crossed": "answers with another request's id and digest",
    "draining": "reports draining and refuses new work",
    "late": "sends the answer ``delay`` after the run",
    "load-lag": "reports the load of ``delay`` ago",
    "load-lie": "reports ``in_flight`` and ``queued`` of the fault, with age 0",
    "shed": "refuses before running",
    "silent": "runs the request, never answers, keeps the connection open",
    "slow": "service time times ``factor``",
    "stopped": "instance list only: answers 503",
    "truncated": "closes the connection after half of the body",
}
CRASH_MODES = ("exit", "close")


@dataclasses.dataclass(frozen=True)
class Fault:
    """``count``: how many requests it hits, None for any number.

    ``marker``: only requests with this text in path or body; empty for all.
    ``restart_after_ms``: after a crash with mode ``close``, listen again; None for never.
    """

    kind: str
    count: int | None = None
    marker: str = ""
    delay_ms: float = 0.0
    factor: float = 1.0
    mode: str = "exit"
    restart_after_ms: float | None = None
    in_flight: int = 0
    queued: int = 0


def parse(node: nodes.Node) -> Fault:
    """Return the fault that ``node`` describes; raises SettingsError."""
    return Fault(
        getters.get_choice(node, "kind", tuple(KINDS)),
        getters.get_int(node, "count", None, low=1),
        getters.get_str(node, "marker", ""),
        getters.get_ms(node, "delay", 0.0),
        getters.get_float(node, "factor", 1.0),
        getters.get_choice(node, "mode", CRASH_MODES, "exit"),
        getters.get_ms(node, "restart_after", None),
        getters.get_int(node, "in_flight", 0),
        getters.get_int(node, "queued", 0),
    )
