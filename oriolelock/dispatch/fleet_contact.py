"""
oriolelock.dispatch.fleet_contact
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Whether this entry hears from the other entries, so that no news of an endpoint's restart is
    good news.
"""

import collections.abc

__all__ = ["FleetContact"]

# Several times the interval in which entries tell each other what they know.
FRESH_S = 1.0
MIN_PEERS = 2
# An entry that has met no informed one for this long after its start concludes that none is left.
ALONE_AFTER_S = 1.0
# An entry that is heard for this long and does not tell whether it is informed is of an older
# version.
OLD_VERSION_AFTER_S = 1.5
# Datagrams may have waited during a longer pause of this process.
MAX_PAUSE_S = 0.35
# Until datagrams are read that waited meanwhile.
PAUSE_HOLD_S = 0.1


class FleetContact:
    """Not thread-safe; times are monotonic seconds. Peers are any hashable."""

    def __init__(self) -> None:
        self._peers: frozenset[collections.abc.Hashable] = frozenset()
        # By peer: when it was heard.
        self._heard_s: dict[collections.abc.Hashable, float] = {}
        # Entries that tell whether they are informed, which older versions don't.
        self._telling: set[collections.abc.Hashable] = set()
        self._first_heard_s: dict[collections.abc.Hashable, float] = {}
        self._is_configured = False
        # Since when this entry hears others, none of which is informed.
        self._waiting_since_s: float | None = None
        self._ticked_s: float | None = None
        self._ignored_until_s = float("-inf")
        # Whether this entry knows what the others know.
        self.is_initiated = False

    def configure(self, peers: collections.abc.Iterable[collections.abc.Hashable]) -> None:
        """Replace the other entries of the fleet."""
        self._peers = frozenset(peers)
        self._heard_s = {peer: at_s for peer, at_s in self._heard_s.items() if peer in self._peers}
        self._telling &= self._peers
        self._first_heard_s = {
            peer: at_s for peer, at_s in self._first_heard_s.items() if peer in self._peers
        }
        if not self._is_configured:
            self._is_configured = True
            self.is_initiated = not self._peers

    def start_anew(self) -> None:
        """Forget that this entry was informed, as it has missed news."""
        self.is_initiated = not self._peers
        self._waiting_since_s = None

    def tick(self, now: float) -> bool:
        """Notice pauses of this process; to be called in short intervals.

        Returns True once, if the entry has found that no informed entry is left.
        """
        if self._ticked_s is not None and now - self._ticked_s > MAX_PAUSE_S:
            self._ignored_until_s = now + PAUSE_HOLD_S
            self._heard_s = {}
        self._ticked_s = now
        if not self._is_configured or self.is_initiated:
            return False
        heard = self._count_heard(now)
        if heard < self._needed():
            self._waiting_since_s = None
            return False
        if self._waiting_since_s is None:
            self._waiting_since_s = now
        waited_s = now - self._waiting_since_s
        self.is_initiated = heard == len(self._peers) or waited_s >= ALONE_AFTER_S
        return self.is_initiated

    def record(self, peer: collections.abc.Hashable, is_initiated: bool | None, now: float) -> None:
        """Record that an entry was heard, and whether it is informed itself, None if unknown."""
        is_paused = self._ticked_s is None or now - self._ticked_s > MAX_PAUSE_S
        if peer not in self._peers or is_paused or now < self._ignored_until_s:
            return
        self._heard_s[peer] = now
        first_s = self._first_heard_s.setdefault(peer, now)
        if is_initiated is not None:
            self._telling.add(peer)
        elif peer not in self._telling and now - first_s >= OLD_VERSION_AFTER_S:
            is_initiated = True
        if is_initiated and self._is_configured:
            self.is_initiated = True

    def _needed(self):
        # Entries of older versions are heard within the region only.
        return min(MIN_PEERS if self._telling else 1, len(self._peers))

    def _count_heard(self, now, max_age_s=FRESH_S):
        return sum(now - heard_s <= max_age_s for heard_s in self._heard_s.values())

    def needs_replies(self, now: float) -> bool:
        """Return whether this entry hears so few others that it should ask some."""
        wanted = self._needed()
        return not self.is_initiated or self._count_heard(now, FRESH_S / 2) < wanted

    def is_informed(self, now: float) -> bool:
        """Return whether news of the other entries would have reached this one."""
        if not self.is_initiated:
            return False
        return self._count_heard(now) >= self._needed()
