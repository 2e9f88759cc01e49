"""
oriolelock.control.route_operations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What operators do with routes and failure domains, as calls with a future of their result.
"""

import concurrent.futures

import xxhash

from oriolelock.control import envelope, messages, replica
from oriolelock.model import changes, drain, errors, route_table
from oriolelock.wire import codec

__all__ = ["RouteOperations", "precheck"]

# An operator tries another replica after a second; a commit between far regions takes 0.1 s.
CHANGE_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 1.5
# In force from the start of time, whatever the clocks of entries show.
ALWAYS_S = 0.0


def precheck(change: changes.RouteChange) -> str:
    """Return why a change can't be valid on any table, or an empty text."""
    if not isinstance(change, changes.PutRoutes):
        return ""
    try:
        route_table.check(change.table, change.table.revision - 1)
    except errors.InvalidData as exc:
        return str(exc)
    return ""


class RouteOperations:
    """Thread-safe."""

    def __init__(self, rep: replica.Replica):
        self._replica = rep

    def change(self, change: changes.RouteChange) -> concurrent.futures.Future:
        """Return a future of ``Applied``, ``Conflict``, ``Refused`` or ``Unavailable``.

        The same change sent again is applied once, on whichever replica it arrives.
        """
        change_id = f"routes-{xxhash.xxh3_128_hexdigest(codec.encode(change))}"
        command = envelope.OperatorChange(change_id, None, "", change)
        return self._replica.call("config", command, CHANGE_TIMEOUT_S)

    def read(self) -> concurrent.futures.Future:
        """Return a future of the newest table, or of None when that can't be known now."""
        answer: concurrent.futures.Future = concurrent.futures.Future()

        def confirmed(fut):
            known = isinstance(fut.result(), messages.Confirmed)
            answer.set_result(self._replica.configuration().table if known else None)

        fut = self._replica.call("config", messages.ConfirmRead(), READ_TIMEOUT_S)
        fut.add_done_callback(confirmed)
        return answer

    def evacuate(self, domain: str) -> concurrent.futures.Future:
        """Keep new work from a failure domain at once; the future ends like that of a change."""
        item = drain.Drain(
            f"evacuation-{domain}", "failure_domain", domain, ALWAYS_S, ALWAYS_S, forced=True
        )
        return self._replica.call("config", changes.AddDrain(item), CHANGE_TIMEOUT_S)

    def restore(self, domain: str) -> concurrent.futures.Future:
        """Take a failure domain back; ``Refused`` when it was not evacuated."""
        change = changes.CancelDrain(f"evacuation-{domain}")
        return self._replica.call("config", change, CHANGE_TIMEOUT_S)
