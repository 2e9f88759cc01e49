"""
oriolelock.control.applier
~~~~~~~~~~~~~~~~~~~~~~~~~~

    Applies committed log entries to the state machine of a group, a limited time at once.
"""

import collections
import collections.abc

from oriolelock import clock, logs
from oriolelock.consensus import messages, outputs, persistent_state
from oriolelock.control import snapshot_policy, state_machines
from oriolelock.wire import codec

__all__ = ["Applier"]

log = logs.get_logger("control.host")


class Applier:
    """Used only by the thread of its group; ``applied`` and ``membership`` may be read by others.

    ``on_applied(entry, result)`` is called for each entry. A replica that starts again has many
    entries to apply: if its thread did nothing else meanwhile, it would neither vote nor send
    heartbeats, and the others would elect one leader after another.
    """

    def __init__(
        self,
        group: str,
        state_machine: state_machines.StateMachine,
        stored: persistent_state.PersistentState,
        policy: snapshot_policy.SnapshotPolicy,
        on_applied: collections.abc.Callable[[messages.Entry, object], None],
    ):
        self._group = group
        self._state_machine = state_machine
        self._policy = policy
        self._on_applied = on_applied
        self._committed: collections.deque[messages.Entry] = collections.deque()
        self.membership = stored.membership
        self.applied = stored.snapshot_index
        self.applied_term = stored.snapshot_term
        if stored.snapshot:
            state_machine.restore(stored.snapshot)

    @property
    def is_behind(self) -> bool:
        """True while committed entries wait to be applied."""
        return bool(self._committed)

    def add(self, entries: collections.abc.Iterable[messages.Entry]) -> None:
        """Add committed entries, which follow those added before."""
        self._committed.extend(entries)

    def apply_for(self, limit_s: float) -> bool:
        """Apply entries, at least one, for up to ``limit_s``; return whether there were any."""
        if not self._committed:
            return False
        started_s = now = clock.monotonic_s()
        while self._committed and now - started_s < limit_s:
            entry = self._committed.popleft()
            self._apply(entry)
            entry_started_s, now = now, clock.monotonic_s()
            self._policy.record_applied(len(entry.data), now - entry_started_s)
        return True

    def _apply(self, entry):
        result = None
        if entry.kind == "command":
            result = self._state_machine.apply(entry.index, codec.decode(entry.data))
        elif entry.kind == "membership":
            self.membership = codec.decode(entry.data)
            names = [r.name + ("" if r.voter else " (learner)") for r in self.membership.replicas]
            log.info("Group {}: the members are {}.", self._group, ", ".join(names))
        self.applied, self.applied_term = entry.index, entry.term
        self._on_applied(entry, result)

    def restore(self, output: outputs.RestoreSnapshot) -> None:
        """Replace the state by a received snapshot, which covers all entries that still wait."""
        self._committed.clear()
        self._state_machine.restore(output.data)
        self.membership = output.membership
        self.applied, self.applied_term = output.index, output.term
        self._policy.record_snapshot(output.index, len(output.data), 0.0)
        log.info("Group {}: restored a snapshot at index {}.", self._group, output.index)
