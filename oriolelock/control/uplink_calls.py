"""
oriolelock.control.uplink_calls
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Routes calls that entries send over the uplink to the group that handles them.
"""

import concurrent.futures

from oriolelock.control import messages as control_messages
from oriolelock.control import record_state, replica, unavailable
from oriolelock.distribution import messages as distribution_messages
from oriolelock.model import changes, results
from oriolelock.once import messages

__all__ = ["serve"]

# Long enough for a commit across distant regions with one retry. An entry waits less than its own
# deadline.
CALL_TIMEOUT_S = 4.0
# ``SetMember``: an entry registers itself if the instance list does not contain it.
CONFIG_CALLS = (changes.ReportCrash, changes.SetMember, distribution_messages.ConfirmIndex)
RECORD_COMMANDS = (messages.ClaimKey, messages.CompleteKey, messages.ReleaseKey)


def serve(rep: replica.Replica, payload: object) -> concurrent.futures.Future:
    """Return a future of (result, error text); the text is empty if there is a result."""
    reply: concurrent.futures.Future = concurrent.futures.Future()
    group = _group_for(rep, payload)
    if not group:
        reply.set_result((None, f"not a call: {type(payload).__name__}"))
        return reply

    def set_reply(fut):
        result = fut.result()
        if isinstance(result, (unavailable.Unavailable, results.Refused)):
            reply.set_result((None, result.reason))
        elif isinstance(result, control_messages.Confirmed):
            reply.set_result((distribution_messages.ConfirmedIndex(rep.configuration().index), ""))
        else:
            reply.set_result((result, ""))

    if isinstance(payload, distribution_messages.ConfirmIndex):
        payload = control_messages.ConfirmRead()
    rep.call(group, payload, CALL_TIMEOUT_S).add_done_callback(set_reply)
    return reply


def _group_for(rep, payload):
    if isinstance(payload, CONFIG_CALLS):
        return "config"
    if isinstance(payload, RECORD_COMMANDS) and rep.cfg.record_groups:
        return record_state.group_of(payload.key, rep.cfg.record_groups)
    return ""
