"""
oriolelock.distribution.leader_query
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Confirms a configuration by asking the leader: below parents of older builds, which don't tell
    how old their own confirmations are, and over a spare connection when the parent is slow.
"""

import collections.abc
import concurrent.futures
import dataclasses

from oriolelock.distribution import messages, pending_calls

__all__ = ["LeaderQuery"]

# As often as replicas confirm.
INTERVAL_S = 0.4
# So that one lost reply does not delay the next confirmation.
MAX_PENDING = 3


@dataclasses.dataclass(frozen=True)
class _Call:
    call_id: str
    started_s: float
    reply: concurrent.futures.Future


class LeaderQuery:
    """Calls for the index of the leader's configuration, which all builds of parents forward.

    ``send`` sends or queues a message to a replica, or to an entry that forwards it.
    """

    def __init__(
        self,
        pending: pending_calls.PendingCalls,
        send: collections.abc.Callable[[object], bool],
    ):
        self._pending = pending
        self._send = send
        self._calls: list[_Call] = []
        self._due_s = 0.0

    def poll(self, index: int, now: float) -> float | None:
        """Return the time since which ``index`` is known to be current, or None; call if due.

        It is the begin of the latest call whose reply is no later index. ``now`` is of the
        monotonic clock.
        """
        if now >= self._due_s:
            self._due_s = now + INTERVAL_S
            self._call(now)
        replied = [call for call in self._calls if _replied_index(call.reply, index) <= index]
        if not replied:
            return None
        latest = replied[-1]
        self._drop(self._calls.index(latest) + 1)
        return latest.started_s

    def _call(self, now):
        self._drop(len(self._calls) + 1 - MAX_PENDING)
        call_id, reply = self._pending.add()
        self._calls.append(_Call(call_id, now, reply))
        self._send(messages.UplinkCall(call_id, messages.ConfirmIndex()))

    def _drop(self, count):
        for call in self._calls[: max(0, count)]:
            self._pending.discard(call.call_id)
        del self._calls[: max(0, count)]


def _replied_index(reply, index):
    """Return the index of a reply, one after ``index`` if there is none."""
    if not reply.done() or reply.exception() is not None:
        return index + 1
    payload = reply.result()
    return payload.index if isinstance(payload, messages.ConfirmedIndex) else index + 1
