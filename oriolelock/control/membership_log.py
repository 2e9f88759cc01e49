"""
oriolelock.control.membership_log
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Logs why a leader changes the members of a group, and why it does not.
"""

from oriolelock import events
from oriolelock.consensus import replacement

__all__ = ["MembershipLog"]

log = events.Events("control.members")


class MembershipLog:
    """Logs each reason once, when a plan gives it and the plan before did not."""

    def __init__(self, group: str):
        self._group = group
        self._last: set[tuple[str, str, str]] = set()

    def record(self, plan: replacement.Plan) -> None:
        """Log what is new in ``plan``."""
        current = set()
        for change in plan.changes:
            kind = type(change.event).__name__
            current.add((kind, change.name, change.reason))
            if (kind, change.name, change.reason) not in self._last:
                log.notable(
                    "membership-change",
                    group=self._group,
                    change=kind,
                    member=change.name,
                    reason=change.reason,
                    silent_s=change.silent_s,
                )
        for name, reason in plan.waiting:
            current.add(("", name, reason))
            if ("", name, reason) not in self._last:
                log.notable("membership-wait", group=self._group, member=name, reason=reason)
        self._last = current
