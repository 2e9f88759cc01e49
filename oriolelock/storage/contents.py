"""
oriolelock.storage.contents
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What the records of a segment add up to.
"""

import dataclasses

from oriolelock.consensus import messages
from oriolelock.storage import records

__all__ = ["Contents"]


@dataclasses.dataclass
class Contents:
    """Term, vote and the entries after ``base_index``."""

    base_index: int
    base_term: int
    term: int
    voted_for: str
    entries: list[messages.Entry] = dataclasses.field(default_factory=list)

    def _after(self, save):
        kept = self.entries
        if save.truncate_from:
            kept = kept[: max(0, save.truncate_from - self.base_index - 1)]
        added = [item for item in save.entries if item.index > self.base_index]
        following = self.base_index + len(kept) + 1
        if [item.index for item in added] != list(range(following, following + len(added))):
            raise ValueError(f"entries do not follow entry {following - 1}")
        return kept, added

    def check(self, save: records.SaveRecord) -> None:
        """Raise ValueError when a save leaves a gap."""
        self._after(save)

    def apply(self, save: records.SaveRecord) -> None:
        """Apply one save; raises ValueError, and changes nothing, when it leaves a gap.

        Entries up to the base are skipped: a snapshot may be stored before an earlier save.
        """
        self.entries, added = self._after(save)
        self.entries += added
        self.term, self.voted_for = save.term, save.voted_for

    def cut(self, index: int, term: int) -> None:
        """Drop what a snapshot at ``index`` replaces.

        Later entries stay only if the log has the snapshot's own entry; else it differs from
        the log that the snapshot was taken of.
        """
        position = index - self.base_index
        if position < 0:
            raise ValueError(f"snapshot {index} is older than the log, which follows")
        if position == 0:
            matches = self.base_term == term
        else:
            held = position <= len(self.entries)
            matches = held and self.entries[position - 1].term == term
        self.entries = self.entries[position:] if matches else []
        self.base_index, self.base_term = index, term

    def as_records(self, batch: int) -> list[object]:
        """Return the records that stand for these contents, ``batch`` entries in each."""
        base = records.BaseRecord(self.base_index, self.base_term, self.term, self.voted_for)
        saves = [
            records.SaveRecord(self.term, self.voted_for, 0, tuple(self.entries[at : at + batch]))
            for at in range(0, len(self.entries), batch)
        ]
        return [base, *saves]
