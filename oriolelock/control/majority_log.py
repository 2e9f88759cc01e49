"""
oriolelock.control.majority_log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Turns successive assessments of a group into log events: changes, and reminders of a lack.
"""

import dataclasses

from oriolelock.control import majority

__all__ = ["Event", "MajorityLog", "describe_missing"]

# Longer than nearly all elections, and than it takes to miss voters that are gone.
NO_LEADER_AFTER_S = 5.0
# A member that has just been added is heard once its connection stands.
LOST_AFTER_S = 1.0
REMIND_EVERY_S = 10.0
# Keeps lines within the limit of the log.
MAX_NAMED = 16


@dataclasses.dataclass(frozen=True)
class Event:
    """A log event. ``text`` is a sentence that tells the most important fields."""

    name: str
    is_warning: bool
    text: str
    fields: dict[str, object]


class MajorityLog:
    """The state of one group as told so far. Times are monotonic seconds.

    ``grace_s``: for how long after the start a lack is not told, since connections take a while.
    """

    def __init__(self, group: str, started_s: float, grace_s: float):
        self._group = group
        self._quiet_until_s = started_s + grace_s
        self._role = ""
        self._without_since_s: float | None = None
        self._told_lost = False
        self._told_no_leader = False
        self._told_s = 0.0
        self._leaderless_s = 0.0

    def update(self, found: majority.Assessment, now: float) -> list[Event]:
        """Return the events that follow from the latest assessment; none if all is as before."""
        result = [*self._update_role(found), *self._update_majority(found, now)]
        result += self._update_leader(found, now)
        self._leaderless_s = found.leaderless_s
        return result

    def _update_role(self, found):
        before, self._role = self._role, found.role
        if not before or before == found.role or "no-member" not in (before, found.role):
            return []
        if found.role == "no-member":
            text = f"Group {self._group}: this replica is no member any more, it was a {before}."
            return [Event("no-member", True, text, _fields(self._group, found))]
        text = f"Group {self._group}: this replica is a member now, as a {found.role}."
        return [Event("member", False, text, _fields(self._group, found))]

    def _update_majority(self, found, now):
        if not _lacks_majority(found):
            since_s, self._without_since_s = self._without_since_s, None
            if not self._told_lost:
                return []
            self._told_lost = False
            text = f"Group {self._group}: a majority is there again, after {now - since_s:.0f} s."
            fields = {**_fields(self._group, found), "after_s": round(now - since_s, 1)}
            return [Event("majority-regained", False, text, fields)]
        if self._without_since_s is None:
            self._without_since_s = now
        told_s = self._without_since_s + LOST_AFTER_S
        if not self._told_lost and now >= max(told_s, self._quiet_until_s):
            self._told_lost, self._told_s = True, now
            return [self._make_lost("majority-lost", found, now)]
        if self._told_lost and now - self._told_s >= REMIND_EVERY_S:
            self._told_s = now
            return [self._make_lost("no-majority", found, now)]
        return []

    def _make_lost(self, name, found, now):
        text = (
            f"Group {self._group} has no majority: {found.reachable} of {len(found.voters)} "
            f"voters can be reached, {found.needed} are needed; missing: {_list_missing(found)}. "
            f"Remedy: {found.remedy}."
        )
        fields = {**_fields(self._group, found), "after_s": round(now - self._without_since_s, 1)}
        return Event(name, True, text, fields)

    def _update_leader(self, found, now):
        if found.leader:
            told, self._told_no_leader = self._told_no_leader, False
            if not told:
                return []
            text = (
                f"Group {self._group}: the leader is {found.leader}, "
                f"after {self._leaderless_s:.0f} s without one."
            )
            fields = {**_fields(self._group, found), "after_s": round(self._leaderless_s, 1)}
            return [Event("leader-found", False, text, fields)]
        if found.leaderless_s < NO_LEADER_AFTER_S or now < self._quiet_until_s:
            return []
        told, self._told_no_leader = self._told_no_leader, True
        # Events on the majority tell of the leader, too.
        if _lacks_majority(found) or (told and now - self._told_s < REMIND_EVERY_S):
            return []
        self._told_s = now
        text = (
            f"Group {self._group} has had no leader for {found.leaderless_s:.0f} s; "
            f"{found.reachable} of {len(found.voters)} voters can be reached. "
            f"Remedy: {found.remedy}."
        )
        return [Event("no-leader", True, text, _fields(self._group, found))]


def _lacks_majority(found):
    # A replica that was never admitted knows nothing of majorities.
    return bool(found.voters) and not found.has_majority


def _fields(group, found):
    return {
        "group": group,
        "role": found.role,
        "leader": found.leader,
        "leaderless_s": round(found.leaderless_s, 1),
        "voters": len(found.voters),
        "reachable": found.reachable,
        "needed": found.needed,
        "missing": [_describe(member) for member in found.missing[:MAX_NAMED]],
        "learners": [member.name for member in found.learners[:MAX_NAMED]],
        "remedy": found.remedy,
    }


def _describe(member):
    described = {"name": member.name, "silent_s": majority.round_seconds(member.silent_s)}
    return {**described, "replaced": True} if member.replaced else described


def _list_missing(found):
    return ", ".join(map(describe_missing, found.missing)) or "none known"


def describe_missing(member: majority.Member) -> str:
    """Return the name of a missing voter and since when it is missing."""
    if member.replaced:
        return f"{member.name} (runs with another data folder)"
    if member.silent_s is None:
        return f"{member.name} (not heard since this replica started)"
    return f"{member.name} (silent for {member.silent_s:.0f} s)"
