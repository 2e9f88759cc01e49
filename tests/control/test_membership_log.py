"""Log lines on why a leader changes the members of a group."""

import logbook

from oriolelock.consensus import events, replacement
from oriolelock.control import membership_log

REMOVAL = replacement.Change(events.Remove("a"), "a", "lost, a successor is ready", 1.5)


def test_each_reason_is_logged_once():
    """Guards against a line per tick, and against a successor that waits without a line."""
    member_log = membership_log.MembershipLog("config")
    waiting = replacement.Plan((), (("x", "not caught up"),))
    with logbook.TestHandler() as handler:
        for plan in (waiting, waiting, replacement.Plan((REMOVAL,)), replacement.Plan(), waiting):
            member_log.record(plan)
    lines = [(record.extra["event"], record.extra["member"]) for record in handler.records]
    assert lines == [("membership-wait", "x"), ("membership-change", "a"), ("membership-wait", "x")]
    assert handler.records[1].extra["silent_s"] == 1.5
