"""
oriolelock.control.uplink_calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Calls of entries that arrive over the uplink: which group takes which message.
"""

import concurrent.futures

from oriolelock.control import messages as control_messages
from oriolelock.control import record_state, replica, unavailable
from oriolelock.distribution import messages as distribution_messages
from oriolelock.model import changes, results
from oriolelock.once import messages

__all__ = ["serve"]

# Covers a commit between far regions with one retry; an entry waits less than its deadline.
CALL_TIMEOUT_S = 4.0
# An entry registers itself where the instance list does not name it.
CONFIG_CALLS = (changes.ReportCrash, changes.SetMember, distribution_messages.ConfirmIndex)
RECORD_COMMANDS = (messages.ClaimKey, messages.CompleteKey, messages.ReleaseKey)


def serve(rep: replica.Replica, payload: object) -> concurrent.futures.Future:
    """Return a future of (result, error text); the text is empty when there is a result."""
    answer: concurrent.futures.Future = concurrent.futures.Future()
    group = _group_of(rep, payload)
    if not group:
        answer.set_result((None, f"not a call: {type(payload).__name__}"))
        return answer

    def finished(fut):
        result = fut.result()
        if isinstance(result, (unavailable.Unavailable, results.Refused)):
            answer.set_result((None, result.reason))
        elif isinstance(result, control_messages.Confirmed):
            answer.set_result((distribution_messages.ConfirmedIndex(rep.configuration().index), ""))
        else:
            answer.set_result((result, ""))

    if isinstance(payload, distribution_messages.ConfirmIndex):
        payload = control_messages.ConfirmRead()
    rep.call(group, payload, CALL_TIMEOUT_S).add_done_callback(finished)
    return answer


def _group_of(rep, payload):
    if isinstance(payload, CONFIG_CALLS):
        return "config"
    if isinstance(payload, RECORD_COMMANDS) and rep.cfg.record_groups:
        return record_state.group_of(payload.key, rep.cfg.record_groups)
    return ""
