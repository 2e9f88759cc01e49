"""
oriolelock.entry.claim_outcomes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Maps the replies of the at-most-once record that grant no claim to outcomes.
"""

from oriolelock import outcomes
from oriolelock.endpoints import results
from oriolelock.once import client, messages

__all__ = ["outcome_of"]


def outcome_of(record_reply: object) -> outcomes.Outcome:
    """Return the outcome for the record's reply to a claim that was not granted."""
    match record_reply:
        case client.Unreachable():
            return outcomes.NotRun("record-unreachable", 1000.0)
        case messages.InProgress():
            return outcomes.Unknown("in-progress")
        case messages.Recorded(answer=stored) if _is_usable(stored):
            headers = (("Content-Type", stored.content_type),) if stored.content_type else ()
            return outcomes.Complete(stored.status, headers, stored.body)
        case messages.Recorded() | messages.EarlierUnknown():
            # The request ran or may have run, but its complete answer is not available.
            return outcomes.Unknown("earlier-attempt-unknown")
        case messages.KeyMismatch():
            return outcomes.NotRun("key-mismatch")
        case messages.KeyExpired():
            return outcomes.NotRun("key-expired")
        case messages.RecordFull():
            return outcomes.NotRun("record-full", 1000.0)
    return outcomes.NotRun("record-unreachable", 1000.0)


def _is_usable(stored):
    # Earlier builds recorded other statuses too, of endpoints in trouble.
    return not stored.too_large and stored.status in results.FINAL_STATUSES
