"""
oriolelock.distribution.parent_search
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Looks for a parent, beside a connection that may still be in use.
"""

import collections.abc
import dataclasses
import itertools
import queue
import threading

from oriolelock import clock, logs
from oriolelock.distribution import parent_race
from oriolelock.wire import channel

__all__ = ["ParentSearch", "Round", "interleave"]

log = logs.get_logger("uplink")


@dataclasses.dataclass(frozen=True)
class Round:
    """The result of one race; ``unconfirmed``: messages of parents that could not confirm."""

    connected: parent_race.Connected | None
    unfit: frozenset[channel.Address]
    unconfirmed: tuple[object, ...]


class ParentSearch:
    """Runs races in a thread until one has a winner or the search is cancelled.

    ``run_race(stopping, slow_rounds)`` returns the round of one race; ``slow_rounds``: how many
    before it lasted until attempts reached their limits. ``pause_s(rounds)`` returns the seconds
    until the next one, or None to give up.
    """

    def __init__(
        self,
        run_race: collections.abc.Callable[[threading.Event, int], Round],
        pause_s: collections.abc.Callable[[int], float | None],
    ):
        self._run_race = run_race
        self._pause_s = pause_s
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._rounds: queue.SimpleQueue[Round] = queue.SimpleQueue()
        self.is_over = False
        threading.Thread(target=self._run, name="uplink-search", daemon=True).start()

    def _run(self):
        count = slow_rounds = 0
        while not self._stopping.is_set():
            started_s = clock.monotonic_s()
            try:
                result = self._run_race(self._stopping, slow_rounds)
            except Exception:
                # If this thread ended, an entry without a parent would never find one.
                log.exception("a search for a parent failed")
                result = Round(None, frozenset(), ())
            count += 1
            slow_rounds += clock.monotonic_s() - started_s >= parent_race.CONNECT_LIMIT_S
            pause_s = self._pause_s(count)
            is_last = result.connected is not None or pause_s is None
            with self._lock:
                if self._stopping.is_set():
                    _close(result)
                    return
                # Before the result can be taken.
                self.is_over = is_last
                self._rounds.put(result)
            if is_last:
                return
            self._stopping.wait(pause_s)

    def cancel(self) -> None:
        """End the search and close what it has found."""
        with self._lock:
            self._stopping.set()
        while (result := self.take()) is not None:
            _close(result)

    def take(self, timeout_s: float = 0.0) -> Round | None:
        """Return the next round, the connection of which now belongs to the caller, or None."""
        try:
            return self._rounds.get(timeout_s > 0.0, timeout_s or None)
        except queue.Empty:
            return None


def _close(result):
    if result.connected is not None:
        result.connected.link.close()


def interleave(
    addresses: collections.abc.Iterable[channel.Address],
    replicas: collections.abc.Container[channel.Address],
) -> list[channel.Address]:
    """Return the addresses with those of control replicas at every second place.

    The entries of a failure domain often fail together, or have lost the same parent.
    """
    listed = list(addresses)
    entries = [address for address in listed if address not in replicas]
    control = [address for address in listed if address in replicas]
    pairs = itertools.zip_longest(entries, control)
    return [address for pair in pairs for address in pair if address is not None]
