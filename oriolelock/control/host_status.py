"""
oriolelock.control.host_status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    State of a group as one replica sees it.
"""

import dataclasses

__all__ = ["HostStatus"]


@dataclasses.dataclass(frozen=True)
class HostStatus:
    """``leader`` is empty if none is known and may be outdated: only a confirmed read proves it.

    ``applied`` is the index of the last applied log entry, ``replicas`` the number of members.
    ``is_caught_up``: an entry of the current term is applied, and so all of earlier terms.
    """

    leader: str
    term: int
    is_leader: bool
    applied: int
    voter: bool
    replicas: int
    disk_full: bool
    is_caught_up: bool
