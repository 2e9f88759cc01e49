"""
oriolelock.distribution.recent_changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A configuration with the latest changes that led to it, for deltas to subscribers.
"""

import collections
import collections.abc
import threading

from oriolelock.model import configuration, delta

__all__ = ["RECENT_CHANGES", "RecentChanges"]

# At 26,000 changes a day this covers a subscriber that was away for almost four hours.
RECENT_CHANGES = 4_000


class RecentChanges:
    """Thread-safe. Changes older than the kept ones need a snapshot."""

    def __init__(self, capacity: int = RECENT_CHANGES) -> None:
        self._lock = threading.Lock()
        self._cfg = configuration.EMPTY
        self._recent: collections.deque = collections.deque(maxlen=capacity)
        self._from_index = 0

    def view(self) -> configuration.Configuration:
        """Return the current configuration."""
        return self._cfg

    def advance(
        self,
        cfg: configuration.Configuration,
        committed: collections.abc.Iterable[delta.CommittedChange],
    ) -> None:
        """Replace the configuration by the one that ``committed`` lead to."""
        with self._lock:
            for item in committed:
                if item.index <= self._cfg.index:
                    continue
                if len(self._recent) == self._recent.maxlen:
                    self._from_index = self._recent[0].index
                self._recent.append(item)
            self._cfg = cfg

    def restart(self, cfg: configuration.Configuration) -> None:
        """Replace the configuration by one that was not reached by known changes."""
        with self._lock:
            self._cfg = cfg
            self._recent.clear()
            self._from_index = cfg.index

    def since(
        self, index: int
    ) -> tuple[configuration.Configuration, tuple[delta.CommittedChange, ...] | None]:
        """Return the configuration and the changes after ``index`` that lead to it.

        The changes are None when they are no longer kept.
        """
        with self._lock:
            if index < self._from_index:
                return self._cfg, None
            newer = []
            for item in reversed(self._recent):
                if item.index <= index:
                    break
                newer.append(item)
            return self._cfg, tuple(reversed(newer))
