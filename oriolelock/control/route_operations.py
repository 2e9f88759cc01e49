"""
oriolelock.control.route_operations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Operators' calls on routes and failure domains; each returns a future of its result.
"""

import collections.abc
import concurrent.futures

import xxhash

from oriolelock.control import commands, messages, numbered_change, replica, unavailable
from oriolelock.model import changes, drain, errors, route_table
from oriolelock.wire import codec

__all__ = ["RouteOperations", "precheck"]

# A commit across distant regions takes 0.1 s. Operators try another replica after 1 s.
CHANGE_TIMEOUT_S = 2.5
READ_TIMEOUT_S = 1.5
# The epoch: the drain is in force whatever the clocks of entries show.
EPOCH_S = 0.0


def precheck(change: changes.RouteChange) -> str:
    """Return why a change is invalid whatever the current table is, or an empty string."""
    if not isinstance(change, changes.PutRoutes):
        return ""
    try:
        route_table.check(change.table, change.table.revision - 1)
    except errors.InvalidData as exc:
        return str(exc)
    return ""


class RouteOperations:
    """Proposes changes of routes and evacuations and reads the route table. Thread-safe.

    ``run_soon``: see ``numbered_change.NumberedChange``.
    """

    def __init__(
        self,
        rep: replica.Replica,
        run_soon: collections.abc.Callable[[collections.abc.Callable[[], None]], None],
    ):
        self._replica = rep
        self._run_soon = run_soon

    def change(self, change: changes.RouteChange) -> concurrent.futures.Future:
        """Return a future of ``Applied``, ``Conflict``, ``Refused`` or ``Unavailable``.

        Its id is a digest of its content, so a change that is resent, even to another replica, is
        applied once.
        """
        change_id = f"routes-{xxhash.xxh3_128_hexdigest(codec.encode(change))}"
        command = commands.OperatorChange(change_id, None, "", change)
        return self._replica.call("config", command, CHANGE_TIMEOUT_S)

    def read(self) -> concurrent.futures.Future:
        """Return a future of the latest route table; of None if no leader confirms it in time."""
        table_fut: concurrent.futures.Future = concurrent.futures.Future()

        def set_table(read):
            confirmed = isinstance(read.result(), messages.Confirmed)
            table_fut.set_result(self._replica.configuration().table if confirmed else None)

        fut = self._replica.call("config", messages.ConfirmRead(), READ_TIMEOUT_S)
        fut.add_done_callback(set_table)
        return table_fut

    def evacuate(
        self, domain: str, is_wanted: collections.abc.Callable[[], bool]
    ) -> concurrent.futures.Future:
        """Drain a failure domain at once; the future has the same results as that of ``change``.

        ``is_wanted()``: whether the caller still waits for the answer.
        """
        evacuation = drain.Drain(
            f"evacuation-{domain}", "failure_domain", domain, EPOCH_S, EPOCH_S, forced=True
        )
        return self._change_numbered(domain, changes.AddDrain(evacuation), is_wanted)

    def restore(
        self, domain: str, is_wanted: collections.abc.Callable[[], bool]
    ) -> concurrent.futures.Future:
        """End the evacuation of a failure domain; ``Refused`` if it is not evacuated."""
        return self._change_numbered(domain, changes.CancelDrain(f"evacuation-{domain}"), is_wanted)

    def _change_numbered(self, domain, change, is_wanted):
        if self._replica.lag_s():
            # Operators turn to another replica after a second, and send the change there.
            fut: concurrent.futures.Future = concurrent.futures.Future()
            fut.set_result(unavailable.Unavailable("the change may be outdated", retry=True))
            return fut
        numbered = numbered_change.NumberedChange(
            self._replica,
            f"evacuation-{domain}",
            change,
            is_wanted,
            self._run_soon,
            READ_TIMEOUT_S,
            CHANGE_TIMEOUT_S,
        )
        numbered.start()
        return numbered.fut
