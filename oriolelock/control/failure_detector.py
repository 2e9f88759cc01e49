"""
oriolelock.control.failure_detector
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Failure detector: sets entries that stop reporting to ``down``, those that report again to
    ``live``, and those that report a planned stop to ``leaving``.

    If most entries fall silent at once, the replica that listens may be the one that is disturbed.
    Then they are set down only if another entry was heard all the while.
"""

import collections.abc
import dataclasses

from oriolelock.distribution import reports
from oriolelock.model import changes, configuration

__all__ = ["Detection", "find_late", "find_state_changes"]

# Entries report every second, and relaying a report between replicas takes up to 0.5 s. The ages
# of entries that fall silent together differ by up to that interval, so when the first one
# reaches the limit of 3 s, the others are older than 2 s.
LATE_AGE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Detection:
    """State changes to commit.

    ``held_back``: silent entries that stay ``live`` because most entries are silent, and no other
    one was heard all the while.
    """

    changes: tuple[changes.SetMember, ...]
    held_back: tuple[str, ...]


def find_late(
    cfg: configuration.Configuration,
    silent_s: collections.abc.Mapping[str, float],
    witnesses: collections.abc.Collection[str] = (),
) -> tuple[str, ...]:
    """Return the names of live entries that are late, none if most of them are.

    ``silent_s``, ``witnesses``: see ``find_state_changes``.
    """
    live = [m for m in cfg.members.values() if m.role == "entry" and m.state == "live"]
    late = tuple(m.name for m in live if silent_s.get(m.name, 0.0) > LATE_AGE_S)
    return () if _may_be_own_fault(late, live, witnesses) else late


def _may_be_own_fault(late, live, witnesses):
    """Return whether the silence may be due to a disturbance of the replica that listens."""
    is_most = 2 * len(late) > len(live)
    return is_most and not any(m.name in witnesses and m.name not in late for m in live)


def find_state_changes(
    cfg: configuration.Configuration,
    ages: collections.abc.Mapping,
    silent_s: collections.abc.Mapping,
    leaving: collections.abc.Set[str] = frozenset(),
    witnesses: collections.abc.Collection[str] = (),
) -> Detection:
    """Return the changes of member states that follow from the latest status reports.

    ``ages``: seconds since the latest report, by entry name. ``silent_s``: seconds of silence in
    which the entry could have been heard, see ``silence.Silence``.
    ``leaving``: names of entries whose latest report announces a planned stop; only the instance
    list ends that state. ``witnesses``: names of entries that were heard all the while, see
    ``witnesses.Witnesses``.
    """
    entries = [member for member in cfg.members.values() if member.role == "entry"]
    live = [member for member in entries if member.state == "live"]
    silent = [m for m in live if silent_s.get(m.name, 0.0) > reports.SEEN_LIMIT_S]
    late = [m.name for m in live if silent_s.get(m.name, 0.0) > LATE_AGE_S]
    recovered = [
        m
        for m in entries
        if m.state == "down"
        and ages.get(m.name, 1e9) <= reports.SEEN_LIMIT_S
        and m.name not in leaving
    ]
    held_back: list = []
    if _may_be_own_fault(late, live, witnesses):
        silent, held_back = [], silent
    states = [(m, "down") for m in silent] + [(m, "live") for m in recovered]
    states += [(m, "leaving") for m in live if m.name in leaving and m not in silent]
    return Detection(
        tuple(changes.SetMember(dataclasses.replace(m, state=state)) for m, state in states),
        tuple(m.name for m in held_back),
    )
