"""
oriolelock.control.host_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a host needs to know of its group and surroundings.
"""

import collections.abc
import dataclasses

from oriolelock.consensus import node_settings

__all__ = ["HostSettings"]


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """Identity of the group and the functions that a host calls.

    ``send(target, msg)`` sends a consensus message, ``fail(text)`` ends the process,
    ``changed(group)`` follows each commit and change of leader. A snapshot is taken each
    ``snapshot_every`` entries. ``min_voters``: a voter that has been silent for long is removed
    while this many others are left; None keeps all.
    """

    group: str
    node: node_settings.NodeSettings
    snapshot_every: int
    send: collections.abc.Callable
    fail: collections.abc.Callable
    changed: collections.abc.Callable
    min_voters: int | None = None
