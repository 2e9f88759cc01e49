"""
oriolelock.control.witnesses
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Entries that this replica has heard all the while, in a time in which others were silent.

    They tell a loss of entries from a disturbance of the replica that listens: a replica that was
    frozen, cut off or without a leader has heard none of them for a while.
"""

import collections.abc

from oriolelock.distribution import reports

__all__ = ["MAX_GAP_S", "Witnesses"]

# Entries report every second; with one more interval between two reports an entry is late.
MAX_GAP_S = 2.0
# Longer than the silence of the entries that are judged by it, as after a disturbance some entries
# find this replica sooner than others.
HEARD_S = reports.SEEN_LIMIT_S + 1.0


class Witnesses:
    """Not thread-safe. Times are monotonic, in seconds."""

    def __init__(self):
        self._advanced_s = float("-inf")
        # By entry: when it was heard last, and since when without a longer gap.
        self._heard_s: dict[str, float] = {}
        self._since_s: dict[str, float] = {}

    def advance(
        self, entries: collections.abc.Iterable[str], known: reports.Reports, now: float
    ) -> None:
        """Take note of the latest reports; called several times a second."""
        if now - self._advanced_s > MAX_GAP_S:
            # This process stood still, so that reports may have waited for it.
            self._heard_s, self._since_s = {}, {}
        self._advanced_s = now
        heard_s, since_s = {}, {}
        for name in entries:
            report = known.find(name)
            if report is None or now - report.measured_s > MAX_GAP_S:
                continue
            previous_s = self._heard_s.get(name, float("-inf"))
            heard_s[name] = max(previous_s, report.measured_s)
            is_continued = report.measured_s - previous_s <= MAX_GAP_S
            since_s[name] = self._since_s[name] if is_continued else now
        self._heard_s, self._since_s = heard_s, since_s

    def names(self, now: float) -> frozenset[str]:
        """Return the entries that were heard without a gap for ``HEARD_S`` up to now."""
        return frozenset(
            name for name, since_s in self._since_s.items() if now - since_s >= HEARD_S
        )
