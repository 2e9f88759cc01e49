"""
oriolelock.storage.log_state
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The log state that results from replaying the records of a segment.
"""

import dataclasses

from oriolelock.consensus import messages
from oriolelock.storage import records

__all__ = ["LogState"]


@dataclasses.dataclass
class LogState:
    """The current term, the vote and the log entries after ``base_index``."""

    base_index: int
    base_term: int
    term: int
    voted_for: str
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)

    def _kept_and_added(self, save):
        kept_entries = self.entries
        if save.truncate_from:
            kept_entries = kept_entries[: max(0, save.truncate_from - self.base_index - 1)]
        added_entries = [entry for entry in save.entries if entry.index > self.base_index]
        next_index = self.base_index + len(kept_entries) + 1
        if [entry.index for entry in added_entries] != list(
            range(next_index, next_index + len(added_entries))
        ):
            raise ValueError(f"entries do not follow entry {next_index - 1}")
        return kept_entries, added_entries

    def check(self, save: records.SaveRecord) -> None:
        """Raise ValueError if applying ``save`` would leave a gap in the log."""
        self._kept_and_added(save)

    def apply(self, save: records.SaveRecord) -> None:
        """Apply one save; raises ValueError without changing anything if it leaves a gap.

        Entries up to ``base_index`` are skipped, since a snapshot may be stored before an
        earlier save.
        """
        self.entries, added_entries = self._kept_and_added(save)
        self.entries += added_entries
        self.term, self.voted_for = save.term, save.voted_for

    def apply_snapshot(self, index: int, term: int) -> None:
        """Remove the entries that a snapshot at ``index`` replaces.

        Later entries are kept only if the log contains the entry at ``index`` with the same
        term; otherwise the log has diverged from the one that the snapshot was taken from.
        """
        position = index - self.base_index
        if position < 0:
            raise ValueError(f"snapshot {index} is older than the start of the log")
        if position == 0:
            matches = self.base_term == term
        else:
            in_log = position <= len(self.entries)
            matches = in_log and self.entries[position - 1].term == term
        self.entries = self.entries[position:] if matches else []
        self.base_index, self.base_term = index, term

    def to_records(self, batch_size: int) -> list[object]:
        """Return records that reproduce this state, with up to ``batch_size`` entries each."""
        base = records.BaseRecord(self.base_index, self.base_term, self.term, self.voted_for)
        saves = [
            records.SaveRecord(
                self.term, self.voted_for, 0, tuple(self.entries[start : start + batch_size])
            )
            for start in range(0, len(self.entries), batch_size)
        ]
        return [base, *saves]
