"""
oriolelock.control.unavailable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The result of a call that no leader answered.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Unavailable"]


@codec.register("unavailable")
@dataclasses.dataclass(frozen=True)
class Unavailable:
    """``retry``: the command is certainly not in the log and may be sent to another leader.

    Without ``retry`` the command may still be applied.
    """

    reason: str
    retry: bool = False
