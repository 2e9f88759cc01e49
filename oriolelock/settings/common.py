"""
oriolelock.settings.common
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings that the stand-in roles share.
"""

import dataclasses

from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["LEVELS", "LogSettings", "parse_log"]

LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")


@dataclasses.dataclass(frozen=True)
class LogSettings:
    """``json_lines``: one JSON object per line instead of text."""

    level: str = "INFO"
    json_lines: bool = False


def parse_log(top: nodes.Node) -> LogSettings:
    """Return the settings below the optional key ``log``."""
    node = getters.get_node(top, "log", {})
    return LogSettings(
        getters.get_choice(node, "level", LEVELS, "INFO"), getters.get_bool(node, "json", False)
    )
