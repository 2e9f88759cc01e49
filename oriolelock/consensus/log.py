"""
oriolelock.consensus.log
~~~~~~~~~~~~~~~~~~~~~~~~

    The in-memory log of a node.
"""

import bisect
import collections.abc
import itertools

from oriolelock.consensus import messages

__all__ = ["Log"]

# Encoding overhead of an entry in a message: wire name, index, term, kind and lengths.
ENTRY_OVERHEAD_BYTES = 40


class Log:
    """The entries after ``base_index``; ``base_term`` is the term of the entry at that index."""

    def __init__(
        self, base_index: int, base_term: int, entries: collections.abc.Iterable[messages.Entry]
    ):
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)
        # Sum of the bytes of the entries up to each one, from an arbitrary start.
        self._sizes = list(itertools.accumulate(_size(entry) for entry in self._entries))
        self._base_size = 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the first index in this log of the term of the entry at ``index``."""
        term = self.term_at(index)
        while index - 1 > self.base_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: messages.Entry) -> None:
        """Append the entry that follows the last one."""
        if entry.index != self.last_index + 1:
            raise ValueError(f"entry {entry.index} does not follow entry {self.last_index}")
        self._entries.append(entry)
        self._sizes.append(self._size_up_to(self.last_index - 1) + _size(entry))

    def _size_up_to(self, index):
        if index <= self.base_index:
            return self._base_size
        return self._sizes[min(index, self.last_index) - self.base_index - 1]

    def bytes_after(self, index: int) -> int:
        """Return the size in bytes of the entries after ``index``."""
        return self._size_up_to(self.last_index) - self._size_up_to(index)

    def retained_base(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Return the index after which entries up to ``index`` have at most the given size."""
        least_size = self._size_up_to(index) - max_bytes
        if self._base_size >= least_size:
            by_bytes = self.base_index
        else:
            by_bytes = self.base_index + 1 + bisect.bisect_left(self._sizes, least_size)
        return max(index - max_entries, by_bytes)

    def between(self, first: int, last: int) -> tuple[messages.Entry, ...]:
        """Return the entries from ``first`` to ``last``, inclusive."""
        return tuple(self._entries[first - self.base_index - 1 : last - self.base_index])

    def batch(self, first: int, max_bytes: int) -> tuple[messages.Entry, ...]:
        """Return at least one entry from ``first`` on, and more up to ``max_bytes`` in total."""
        end = start = first - self.base_index - 1
        size = 0
        while end < len(self._entries):
            size += _size(self._entries[end])
            if size > max_bytes and end > start:
                break
            end += 1
        return tuple(self._entries[start:end])

    def truncate(self, first: int) -> None:
        """Remove the entry at ``first`` and all later ones."""
        del self._entries[first - self.base_index - 1 :]
        del self._sizes[first - self.base_index - 1 :]

    def compact(self, index: int) -> None:
        """Remove the entries up to and including ``index``."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        self._base_size = self._size_up_to(index)
        del self._entries[: index - self.base_index]
        del self._sizes[: index - self.base_index]
        self.base_index, self.base_term = index, term

    def reset(self, index: int, term: int) -> None:
        """Remove all entries, so that the log continues after ``index``."""
        self.base_index, self.base_term, self._entries = index, term, []
        self._sizes, self._base_size = [], 0


def _size(entry):
    return len(entry.data) + ENTRY_OVERHEAD_BYTES
