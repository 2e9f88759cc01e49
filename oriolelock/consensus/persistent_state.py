"""
oriolelock.consensus.persistent_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The state that a replica of a group loads from its disk at start.
"""

import dataclasses

from oriolelock.consensus import messages

__all__ = ["PersistentState"]


@dataclasses.dataclass(frozen=True)
class PersistentState:
    """``entries`` start after ``snapshot_index``. ``membership`` is the one in effect at
    ``snapshot_index``; later ones are in ``entries``."""

    term: int
    voted_for: str
    snapshot_index: int
    snapshot_term: int
    membership: messages.Membership
    entries: tuple[messages.Entry, ...]
    snapshot: bytes
