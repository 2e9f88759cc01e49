"""
oriolelock.dispatch.entry_census
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The entries among which limits of the whole fleet are divided.
"""

import collections
import collections.abc

from oriolelock.model import member

__all__ = ["EntryCensus"]

# An entry that leaves or falls silent may still forward requests: at least until the end of its
# grace period and until every other entry knows its new state.
LINGER_S = 10.0


class EntryCensus:
    """Entries by region, with the entry ``own`` itself. Not thread-safe.

    Times are monotonic seconds.
    """

    def __init__(self, own: str, region: str):
        self._own = own
        self._region = region
        self._live: dict[str, str] = {own: region}
        # Entries that were live recently: name to (region, end of the linger time).
        self._lingering: dict[str, tuple[str, float]] = {}
        self._by_region: dict[str, tuple[str, ...]] = {}
        self._valid_until_s = float("-inf")
        self._version = 0

    def configure(self, members: collections.abc.Iterable[member.Member], now: float) -> None:
        """Replace the members of the fleet."""
        previous = self._live
        self._live = {m.name: m.region for m in members if m.role == "entry" and m.state == "live"}
        self._live[self._own] = self._region
        for name, region in previous.items():
            if name not in self._live:
                self._lingering[name] = (region, now + LINGER_S)
        self._valid_until_s = float("-inf")

    def live_counts(self) -> dict[str, int]:
        """Return the number of live entries by region."""
        return dict(collections.Counter(self._live.values()))

    def by_region(self, now: float) -> dict[str, tuple[str, ...]]:
        """Return the sorted names of live and recently live entries by region."""
        if now >= self._valid_until_s:
            self._rebuild(now)
        return self._by_region

    def _rebuild(self, now):
        self._lingering = {
            name: (region, end_s)
            for name, (region, end_s) in self._lingering.items()
            if end_s > now and name not in self._live
        }
        self._valid_until_s = min(
            (end_s for _, end_s in self._lingering.values()), default=float("inf")
        )
        by_region: dict[str, list[str]] = {}
        for name, region in self._live.items():
            by_region.setdefault(region, []).append(name)
        for name, (region, _) in self._lingering.items():
            by_region.setdefault(region, []).append(name)
        self._by_region = {region: tuple(sorted(names)) for region, names in by_region.items()}
        self._version += 1

    def version(self, now: float) -> int:
        """Return a number that changes with the result of ``by_region``."""
        self.by_region(now)
        return self._version

    def senders(
        self, region: str, now: float
    ) -> tuple[collections.abc.Sequence[str], collections.abc.Sequence[str]]:
        """Return the entries in ``region`` and those of the other regions.

        Without entries in the region, all others take their place.
        """
        by_region = self.by_region(now)
        others = [
            name for other, names in sorted(by_region.items()) if other != region for name in names
        ]
        local = by_region.get(region, ())
        return (local, others) if local else (others, ())
