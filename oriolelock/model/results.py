"""
oriolelock.model.results
~~~~~~~~~~~~~~~~~~~~~~~~

    The result of a change.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Applied", "Conflict", "Refused", "Result"]


@codec.register("applied")
@dataclasses.dataclass(frozen=True)
class Applied:
    """The change is committed; ``version`` and ``index`` are those after it."""

    version: int
    index: int


@codec.register("conflict")
@dataclasses.dataclass(frozen=True)
class Conflict:
    """The expected version is not the current one; nothing changed."""

    version: int


@codec.register("refused")
@dataclasses.dataclass(frozen=True)
class Refused:
    """The change is not allowed; nothing changed."""

    reason: str


Result = Applied | Conflict | Refused
