"""
oriolelock.control.reading_turn
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Decides which replica reads the instance list: the leader, and another one while no reading is
    heard of.

    A leader may be frozen, be cut off, or have a bad link, and an election takes seconds. What the
    list tells of endpoints that leave must not wait for it.
"""

import collections.abc

import xxhash

__all__ = ["ReadingTurn", "rank"]

# Two readings of the leader.
SILENCE_S = 1.0
# Until the next replica reads as well, which has heard neither of the leader nor of that one.
RANK_STEP_S = 0.4
STANDBY_INTERVAL_S = 1.0
# While readings fail, perhaps as the list refuses calls over its rate.
MAX_STANDBY_INTERVAL_S = 8.0


def rank(name: str, leader: str, members: collections.abc.Iterable[str]) -> int | None:
    """Return the position of a replica in the order of those that read for ``leader``.

    None: it is no member of the group.
    """
    others = sorted((m for m in members if m != leader), key=_sort_key)
    return others.index(name) if name in others else None


def _sort_key(name):
    return xxhash.xxh64_intdigest(name.encode()), name


class ReadingTurn:
    """Times are monotonic seconds. ``interval_s``: between the starts of a leader's readings."""

    def __init__(self, interval_s: float, now: float):
        self._interval_s = interval_s
        self._heard_s = now
        self._started_s: float | None = None
        self._was_leader = False
        self._standby_interval_s = STANDBY_INTERVAL_S

    def record_heard(self, now: float) -> None:
        """Record that another replica has read the whole list."""
        self._heard_s = now
        self._standby_interval_s = STANDBY_INTERVAL_S

    def record_end(self, is_complete: bool) -> None:
        """Record the end of a reading that was due."""
        doubled_s = min(MAX_STANDBY_INTERVAL_S, 2 * self._standby_interval_s)
        self._standby_interval_s = STANDBY_INTERVAL_S if is_complete else doubled_s

    def is_due(self, is_leader: bool, own_rank: int | None, now: float) -> bool:
        """Return whether this replica must read now, and record that it does."""
        if is_leader:
            is_due = not self._was_leader or self._is_over(self._interval_s, now)
        else:
            silence_s = now - self._heard_s
            is_due = (
                own_rank is not None
                and silence_s >= SILENCE_S + own_rank * RANK_STEP_S
                and self._is_over(self._standby_interval_s, now)
            )
        self._was_leader = is_leader
        if is_due:
            self._started_s = now
        return is_due

    def _is_over(self, interval_s, now):
        return self._started_s is None or now - self._started_s >= interval_s
