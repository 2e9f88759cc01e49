"""
oriolelock.control.silence
~~~~~~~~~~~~~~~~~~~~~~~~~~

    How long entries have been silent, counted on each replica whether it leads or not, so that a
    new leader need not begin anew. A replica that has started a moment ago takes over what others
    have counted.

    Only time counts in which this replica could hear. While no leader confirms reads, entries find
    no parent to report to, and a replica that is frozen or cut off hears nobody.
"""

import collections.abc
import threading

from oriolelock.distribution import publisher, reports

__all__ = ["Silence"]

# Subscribers are disconnected when reads are not confirmed for longer.
MAX_GAP_S = publisher.CONFIRMED_MAX_AGE_S
# Replicas relay reports, and send one of their own, every half a second.
REPLICA_SILENT_S = 1.5


class Silence:
    """``record_confirmed`` and ``take_over`` are thread-safe; all else is used by one thread.

    Times are monotonic, in seconds.
    """

    def __init__(self, own_name: str):
        self._own_name = own_name
        self._lock = threading.Lock()
        # The end of the time in which reads were confirmed, and its part not counted so far.
        self._heard_until_s: float | None = None
        self._uncounted_s = 0.0
        # By entry: the time of its latest report, and seconds of silence since.
        self._measured_s: dict[str, float] = {}
        self._silent_s: dict[str, float] = {}
        # Entries that this replica could have heard at the last ``advance``.
        self._hearable: frozenset[str] = frozenset()
        # By entry, what others have told since the last ``advance``.
        self._told_s: dict[str, float] = {}

    def record_confirmed(self, started_s: float, now: float) -> None:
        """Record that a read begun at ``started_s`` was confirmed."""
        with self._lock:
            until_s = self._heard_until_s
            if until_s is None or started_s - until_s > MAX_GAP_S:
                self._heard_until_s = now
            elif started_s > until_s:
                self._uncounted_s += started_s - until_s
                self._heard_until_s = started_s

    def take_over(self, rows: collections.abc.Iterable[tuple[str, float]]) -> None:
        """Take over the seconds of silence by entry that another replica has counted.

        They count for entries of which this replica has not heard since it started.
        """
        with self._lock:
            for name, silent_s in rows:
                self._told_s[name] = max(silent_s, self._told_s.get(name, 0.0))

    def advance(
        self,
        entries: collections.abc.Iterable[str],
        known: reports.Reports,
        relayed_by: collections.abc.Mapping[str, str],
        members: collections.abc.Collection[str],
        is_leader: bool,
        now: float,
    ) -> None:
        """Count the time since the last call.

        ``relayed_by``: the replica that relayed the latest report of an entry. ``members``: names
        of all replicas of the group. A follower can't tell an entry that is silent from one whose
        replica it does not hear; once it leads, entries leave a replica that it can't reach.
        """
        with self._lock:
            counted_s, self._uncounted_s = self._uncounted_s, 0.0
            told_s, self._told_s = self._told_s, {}
            ahead_s = self._ahead_s(now)
        ages = known.ages(now)
        others = set(members) - {self._own_name}
        unheard = {name for name in others if ages.get(name, now) > REPLICA_SILENT_S}
        silent_s, hearable = {}, set()
        for name in entries:
            silent_s[name] = self._silent_s.get(name, 0.0)
            heard = known.find(name)
            if heard and heard.measured_s != self._measured_s.get(name):
                # Of the time that a report took, it can't be told what counts.
                silent_s[name] = min(MAX_GAP_S, now - heard.measured_s) - ahead_s
                self._measured_s[name] = heard.measured_s
            elif is_leader or _could_hear(relayed_by.get(name), unheard):
                silent_s[name] += counted_s
                hearable.add(name)
            if not heard and name in told_s:
                # The other replica may have counted up to now.
                silent_s[name] = max(silent_s[name], told_s[name] - ahead_s)
        self._silent_s, self._hearable = silent_s, frozenset(hearable)
        self._measured_s = {n: at_s for n, at_s in self._measured_s.items() if n in silent_s}

    def counted_seconds(self) -> dict[str, float]:
        """Return the seconds to tell other replicas, by entry that this one could have heard.

        The time since the last confirmed read is left out: if that was the last one for long, it
        will not count, and replicas that tell each other must not add it up.
        """
        return {n: silent_s for n, silent_s in self._silent_s.items() if n in self._hearable}

    def seconds(self, now: float) -> dict[str, float]:
        """Return the seconds of silence by entry, as of the last ``advance``, on a leader."""
        with self._lock:
            ahead_s = self._ahead_s(now)
        return {name: silent_s + ahead_s for name, silent_s in self._silent_s.items()}

    def _ahead_s(self, now):
        """Return the seconds since the last confirmed read began, 0 if too long ago to count."""
        lag_s = MAX_GAP_S + 1.0 if self._heard_until_s is None else now - self._heard_until_s
        return lag_s if lag_s <= MAX_GAP_S else 0.0


def _could_hear(relayed_by, unheard):
    """Return whether a report would arrive; ``relayed_by`` is None if there was none so far."""
    return relayed_by not in unheard if relayed_by else not unheard
