"""
oriolelock.control.detector
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Failure detector: entries that stop to report are set down, and live when they return;
    entries that report a planned stop are set leaving.
"""

import collections.abc
import dataclasses

from oriolelock.distribution import reports
from oriolelock.model import changes, configuration

__all__ = ["Verdict", "judge"]

# Reports come each second and take up to 0.5 s between replicas. Entries that fall silent
# together differ by that interval in age, so the first one at 3 s finds the others above 2 s.
LATE_LIMIT_S = 2.0


@dataclasses.dataclass(frozen=True)
class Verdict:
    """``held_back``: entries that are silent but stay live, because most are silent."""

    changes: tuple[changes.SetMember, ...]
    held_back: tuple[str, ...]


def judge(
    cfg: configuration.Configuration,
    ages: collections.abc.Mapping,
    watched_s: float,
    leaving: collections.abc.Set[str] = frozenset(),
) -> Verdict:
    """Return the changes of member states that the reports call for.

    ``ages``: seconds since the latest report by name. ``watched_s``: for how long this
    replica has led; entries without a report count as heard when that began. ``leaving``:
    names whose latest report says so; the instance list ends that state.
    """
    entries = [member for member in cfg.members.values() if member.role == "entry"]
    live = [member for member in entries if member.state == "live"]
    age_s = {m.name: min(ages.get(m.name, watched_s), watched_s) for m in live}
    silent = [m for m in live if age_s[m.name] > reports.SEEN_LIMIT_S]
    late = [m for m in live if age_s[m.name] > LATE_LIMIT_S]
    back = [
        m
        for m in entries
        if m.state == "down"
        and ages.get(m.name, 1e9) <= reports.SEEN_LIMIT_S
        and m.name not in leaving
    ]
    held_back: list = []
    # When most entries fall silent at once, it is probably this replica that is cut off.
    if 2 * len(late) > len(live):
        silent, held_back = [], silent
    states = [(m, "down") for m in silent] + [(m, "live") for m in back]
    states += [(m, "leaving") for m in live if m.name in leaving and m not in silent]
    return Verdict(
        tuple(changes.SetMember(dataclasses.replace(m, state=state)) for m, state in states),
        tuple(m.name for m in held_back),
    )
