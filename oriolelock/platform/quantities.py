"""
oriolelock.platform.quantities
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Times and versions as the platform writes them.
"""

import re

from oriolelock.model import errors

__all__ = ["read_ms", "read_revision", "write_revision"]

TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
REVISION = re.compile(r"r?([0-9]{1,18})")
MS_PER_UNIT = {"ms": 1.0, "s": 1000.0}
# Some thirty years. Larger times are mistakes, and could overflow where they are added up.
MAX_MS = 1e12


def read_ms(text: object, where: str) -> float:
    """Return the milliseconds in for example ``1500ms`` or ``2.5s``; raises InvalidData."""
    match = TIME.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise errors.InvalidData(
            f"{where}: found {str(text)[:60]!r}, allowed: a number and ms or s"
        )
    time_ms = float(match[1]) * MS_PER_UNIT[match[2]]
    if time_ms > MAX_MS:
        raise errors.InvalidData(f"{where}: found {text[:60]!r}, allowed: up to {MAX_MS:.0f}ms")
    return time_ms


def read_revision(text: object, where: str) -> int:
    """Return the number in for example ``r12``; raises InvalidData."""
    match = REVISION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise errors.InvalidData(f"{where}: found {text!r}, allowed: r and a number")
    return int(match[1])


def write_revision(number: int) -> str:
    """Return a revision as the platform writes it."""
    return f"r{number}"
