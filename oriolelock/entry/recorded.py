"""
oriolelock.entry.recorded
~~~~~~~~~~~~~~~~~~~~~~~~~

    What the caller is told when the at-most-once record grants no claim.
"""

from oriolelock import outcomes
from oriolelock.once import client, messages

__all__ = ["outcome_of"]


def outcome_of(answer: object) -> outcomes.Outcome:
    """Return the outcome for the record's answer to a claim."""
    match answer:
        case client.Unreachable():
            return outcomes.NotRun("record-unreachable", 1000.0)
        case messages.InProgress():
            return outcomes.Unknown("in-progress")
        case messages.Recorded(answer=messages.Answer(too_large=False) as kept):
            headers = (("Content-Type", kept.content_type),) if kept.content_type else ()
            return outcomes.Complete(kept.status, headers, kept.body)
        case messages.Recorded() | messages.EarlierUnknown():
            # It ran, but without the body there is no whole answer to give.
            return outcomes.Unknown("earlier-attempt-unknown")
        case messages.KeyMismatch():
            return outcomes.NotRun("key-mismatch")
        case messages.KeyExpired():
            return outcomes.NotRun("key-expired")
        case messages.RecordFull():
            return outcomes.NotRun("record-full", 1000.0)
    return outcomes.NotRun("record-unreachable", 1000.0)
