"""
oriolelock.control.commands
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Commands in the replicated log of a group.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Command", "OperatorChange"]


@codec.register("operator-change")
@dataclasses.dataclass(frozen=True)
class OperatorChange:
    """A change by an operator, with the id under which its result is stored.

    ``expect_version``: the configuration version it applies to; None for any.
    """

    change_id: str
    expect_version: int | None
    operator: str
    change: object


@codec.register("command")
@dataclasses.dataclass(frozen=True)
class Command:
    """A command for a group's state machine; ``wall_s`` is the leader's wall clock time."""

    wall_s: float
    payload: object
