"""
oriolelock.control.host_status
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a host knows of its group.
"""

import dataclasses

__all__ = ["HostStatus"]


@dataclasses.dataclass(frozen=True)
class HostStatus:
    """``leader`` is empty when none is known; only a confirmed read proves leadership."""

    leader: str
    term: int
    is_leader: bool
    applied: int
    voter: bool
    replicas: int
    disk_full: bool
