"""
oriolelock.cli.times
~~~~~~~~~~~~~~~~~~~~

    Points in time on the command line.
"""

import datetime

from oriolelock.cli import errors
from oriolelock.settings import errors as settings_errors
from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["FORMS", "parse"]

FORMS = "now, +DURATION as '+10min', or ISO 8601 (UTC unless it has an offset)"


def parse(text: str, base_s: float, key: str) -> float:
    """Return Unix seconds; ``+DURATION`` counts from ``base_s``. Raises BadUsage."""
    if text == "now":
        return base_s
    if text.startswith("+"):
        try:
            node = nodes.Node("arguments", "", {key: text[1:]})
            return base_s + getters.get_ms(node, key) / 1000
        except settings_errors.SettingsError as exc:
            raise errors.BadUsage(str(exc)) from exc
    try:
        when = datetime.datetime.fromisoformat(text)
    except ValueError as exc:
        raise errors.BadUsage(f"{key}: found {text!r}, allowed: {FORMS}") from exc
    return (when if when.tzinfo else when.replace(tzinfo=datetime.UTC)).timestamp()
