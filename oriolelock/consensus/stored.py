"""
oriolelock.consensus.stored
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a replica of a group finds on its disk at start.
"""

import dataclasses

from oriolelock.consensus import messages

__all__ = ["Stored"]


@dataclasses.dataclass(frozen=True)
class Stored:
    """``entries`` start right after ``snapshot_index``; ``membership`` is the one in force at
    ``snapshot_index`` (later ones stand in ``entries``)."""

    term: int
    voted_for: str
    snapshot_index: int
    snapshot_term: int
    membership: messages.Membership
    entries: tuple[messages.Entry, ...]
    snapshot: bytes
