"""
oriolelock.control.host_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of a host and its callbacks.
"""

import collections.abc
import dataclasses

from oriolelock.consensus import node_settings

__all__ = ["HostSettings"]


@dataclasses.dataclass(frozen=True)
class HostSettings:
    """The group's name and settings, and the callbacks of a host.

    ``send(target, msg)`` sends a consensus message, ``fail(text)`` ends the process, and
    ``changed(group)`` is called after entries were applied and each change of leader. A snapshot is
    taken after ``snapshot_every`` entries at the latest, unless snapshots are large.
    ``min_voters``: a voter that is lost is removed without a successor only while at least this
    many others remain; None never removes voters. ``last_heard()`` returns when the link to each
    other replica was last alive (monotonic seconds, by name). ``knows_joint()`` returns whether
    the builds of other replicas know joint memberships, by name. ``candidates()`` returns the names
    of replicas that the leader admits although they don't ask for it.
    """

    group: str
    node: node_settings.NodeSettings
    snapshot_every: int
    send: collections.abc.Callable
    fail: collections.abc.Callable
    changed: collections.abc.Callable
    min_voters: int | None = None
    last_heard: collections.abc.Callable[[], collections.abc.Mapping[str, float]] = dict
    knows_joint: collections.abc.Callable[[], collections.abc.Mapping[str, bool]] = dict
    candidates: collections.abc.Callable[[], collections.abc.Iterable[str]] = tuple
