"""
oriolelock.control.state_machines
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    State machines of the consensus groups, by kind of group.
"""

import typing

from oriolelock.control import commands, config_state, record_state

__all__ = ["STATE_MACHINES", "StateMachine", "make_state_machine"]


class StateMachine(typing.Protocol):
    """A replicated, deterministic state machine.

    ``wall_s`` is the latest wall clock time of an applied command.
    """

    wall_s: float

    def apply(self, index: int, command: commands.Command) -> object:
        """Apply a committed command and return its result."""

    def encode(self) -> bytes:
        """Return the whole state as a snapshot."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot."""


STATE_MACHINES = {"config": config_state.ConfigState, "record": record_state.RecordState}


def make_state_machine(group: str) -> StateMachine:
    """Return an empty state machine for ``group``, for example ``record-2``."""
    return STATE_MACHINES[group.partition("-")[0]]()
