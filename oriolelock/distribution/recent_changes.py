"""
oriolelock.distribution.recent_changes
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The configuration with the latest changes that led to it, from which deltas are made.
"""

import collections
import collections.abc
import itertools
import threading

from oriolelock.model import configuration, delta
from oriolelock.wire import codec

__all__ = ["MAX_CHANGES_BYTES", "RECENT_CHANGES", "RecentChanges"]

# At 26,000 changes a day, this covers almost four hours of disconnection.
RECENT_CHANGES = 4_000
# Of the changes as encoded; decoded they take about four times as much. A whole configuration of
# hundreds of routes is a change as well.
MAX_CHANGES_BYTES = 1024 * 1024


class RecentChanges:
    """A configuration and its latest changes, bounded by number and bytes; thread-safe.

    A subscriber that misses older changes needs a snapshot. The newest change is kept whatever its
    size: a table that it carries is part of the configuration.
    """

    def __init__(self, capacity: int = RECENT_CHANGES, max_bytes: int = MAX_CHANGES_BYTES) -> None:
        self._lock = threading.Lock()
        self._capacity = capacity
        self._max_bytes = max_bytes
        self._cfg = configuration.EMPTY
        self._changes: collections.deque[tuple[delta.CommittedChange, int]] = collections.deque()
        self._bytes = 0
        self._from_index = 0

    def view(self) -> configuration.Configuration:
        """Return the current configuration."""
        return self._cfg

    def advance(
        self,
        cfg: configuration.Configuration,
        committed: collections.abc.Sequence[delta.CommittedChange],
        sizes: collections.abc.Sequence[int] | None = None,
    ) -> None:
        """Replace the configuration by ``cfg``, to which the ``committed`` changes lead.

        ``sizes``: of the encoded changes in bytes, if they are known.
        """
        if sizes is None:
            sizes = [len(codec.encode(change)) for change in committed]
        with self._lock:
            for change, size in zip(committed, sizes, strict=True):
                if change.index > self._cfg.index:
                    self._changes.append((change, size))
                    self._bytes += size
            self._drop_oldest()
            self._cfg = cfg

    def _drop_oldest(self):
        while len(self._changes) > self._capacity or (
            self._bytes > self._max_bytes and len(self._changes) > 1
        ):
            change, size = self._changes.popleft()
            self._bytes -= size
            self._from_index = change.index

    def reset(self, cfg: configuration.Configuration) -> None:
        """Replace the configuration by one for which the changes are not known."""
        with self._lock:
            self._cfg = cfg
            self._changes.clear()
            self._bytes = 0
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
            newest_first = itertools.takewhile(
                lambda change: change.index > index, (c for c, _ in reversed(self._changes))
            )
            return self._cfg, tuple(reversed(tuple(newest_first)))
