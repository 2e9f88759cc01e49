"""
oriolelock.distribution.report_schedule
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    When an entry reports its own status to its parent, and when it passes on those of others.
"""

__all__ = ["REPORT_INTERVAL_S", "ReportSchedule"]

REPORT_INTERVAL_S = 1.0
# Descendants' reports wait at most this long at each hop. When they waited for the entry's next
# own report, they were 3.2 s old after three hops, over control's limit for live entries.
FORWARD_INTERVAL_S = 0.25


class ReportSchedule:
    """Everything is due on a new connection. Times are monotonic, in seconds."""

    def __init__(self):
        self._own_due_s = 0.0
        self.due_s = 0.0

    def take_due(self, now: float) -> tuple[bool, bool]:
        """Return whether reports of descendants, and the own one, are due; count them as sent."""
        if now < self.due_s:
            return False, False
        is_own_due = now >= self._own_due_s
        if is_own_due:
            self._own_due_s = now + REPORT_INTERVAL_S
        self.due_s = min(now + FORWARD_INTERVAL_S, self._own_due_s)
        return True, is_own_due
