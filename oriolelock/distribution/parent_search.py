"""
oriolelock.distribution.parent_search
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Looks for another parent beside a connection that may have failed.
"""

import collections.abc
import itertools
import threading

from oriolelock.distribution import errors, parent_race

__all__ = ["ParentSearch", "interleave"]

Address = tuple[str, int]


class ParentSearch:
    """Runs a race in a thread. ``found`` is its result once it has one."""

    def __init__(self, race: parent_race.ParentRace, addresses: collections.abc.Iterable[Address]):
        self._race = race
        self._addresses = addresses
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self.found: parent_race.Connected | None = None
        threading.Thread(target=self._run, name="uplink-search", daemon=True).start()

    def _run(self):
        try:
            connected = self._race.run(self._addresses, self._stopping)
        except errors.Disconnected:
            # The connection at hand may recover; else the next search follows its end.
            return
        with self._lock:
            if not self._stopping.is_set():
                self.found = connected
                return
        connected.link.close()

    def cancel(self) -> None:
        """End the search and close what it has found."""
        with self._lock:
            self._stopping.set()
            found, self.found = self.found, None
        if found is not None:
            found.link.close()

    def take(self) -> parent_race.Connected | None:
        """Return the connection that was found, which now belongs to the caller, or None."""
        with self._lock:
            found, self.found = self.found, None
            return found


def interleave(
    addresses: collections.abc.Iterable[Address], replicas: collections.abc.Container[Address]
) -> list[Address]:
    """Return the addresses with those of control replicas at every second place.

    The entries of a failure domain often fail together, or have lost the same parent.
    """
    listed = list(addresses)
    entries = [address for address in listed if address not in replicas]
    control = [address for address in listed if address in replicas]
    pairs = itertools.zip_longest(entries, control)
    return [address for pair in pairs for address in pair if address is not None]
