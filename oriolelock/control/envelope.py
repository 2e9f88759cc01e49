"""
oriolelock.control.envelope
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What stands in the log of a group.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Command", "OperatorChange"]


@codec.register("operator-change")
@dataclasses.dataclass(frozen=True)
class OperatorChange:
    """A change with the id under which its result is kept.

    ``expect_version``: applied only at this version; None for any.
    """

    change_id: str
    expect_version: int | None
    operator: str
    change: object


@codec.register("command")
@dataclasses.dataclass(frozen=True)
class Command:
    """A command of a group's state machine, stamped by the leader with its wall clock."""

    wall_s: float
    payload: object
