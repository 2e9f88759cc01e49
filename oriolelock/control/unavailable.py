"""
oriolelock.control.unavailable
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Result of a call to a group for which no leader returned a result.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["Unavailable"]


@codec.register("unavailable")
@dataclasses.dataclass(frozen=True)
class Unavailable:
    """``reason`` says why there is no result.

    ``retry``: the command is certainly not in the log and may be sent to another leader. If it is
    false, the command may still be applied.
    """

    reason: str
    retry: bool = False
