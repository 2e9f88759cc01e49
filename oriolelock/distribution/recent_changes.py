"""
oriolelock.distribution.recent_changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The configuration with the latest changes that led to it, from which deltas are made.
"""

import collections
import collections.abc
import threading

from oriolelock.model import configuration, delta

__all__ = ["RECENT_CHANGES", "RecentChanges"]

# At 26,000 changes a day, this covers almost four hours of disconnection.
RECENT_CHANGES = 4_000


class RecentChanges:
    """A configuration and its latest ``capacity`` changes; thread-safe.

    A subscriber that misses older changes needs a snapshot.
    """

    def __init__(self, capacity: int = RECENT_CHANGES) -> None:
        self._lock = threading.Lock()
        self._cfg = configuration.EMPTY
        self._changes: collections.deque = collections.deque(maxlen=capacity)
        self._from_index = 0

    def view(self) -> configuration.Configuration:
        """Return the current configuration."""
        return self._cfg

    def advance(
        self,
        cfg: configuration.Configuration,
        committed: collections.abc.Iterable[delta.CommittedChange],
    ) -> None:
        """Replace the configuration by ``cfg``, to which the ``committed`` changes lead."""
        with self._lock:
            for change in committed:
                if change.index <= self._cfg.index:
                    continue
                if len(self._changes) == self._changes.maxlen:
                    self._from_index = self._changes[0].index
                self._changes.append(change)
            self._cfg = cfg

    def reset(self, cfg: configuration.Configuration) -> None:
        """Replace the configuration by one for which the changes are not known."""
        with self._lock:
            self._cfg = cfg
            self._changes.clear()
            self._from_index = cfg.index

    def since(
        self, index: int
    ) -> tuple[configuration.Configuration, tuple[delta.CommittedChange, ...] | None]:
        """Return the configuration and the changes after ``index`` that lead to it.

        In place of the changes it returns None if they are no longer kept.
        """
        with self._lock:
            if index < self._from_index:
                return self._cfg, None
            newest_first = []
            for change in reversed(self._changes):
                if change.index <= index:
                    break
                newest_first.append(change)
            return self._cfg, tuple(reversed(newest_first))
