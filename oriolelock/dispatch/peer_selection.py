"""
oriolelock.dispatch.peer_selection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Selects the entry to which a request is delegated, when this entry reaches no endpoint for it.
"""

import collections
import collections.abc
import random

from oriolelock.dispatch import observation, ranking
from oriolelock.model import member

__all__ = ["PeerSelection"]

# An entry that found no endpoint is not asked for the same service for this long.
UNABLE_HOLD_S = 1.5
# Three times the interval of reports.
CUT_OFF_HOLD_S = 1.5


class PeerSelection:
    """The other entries. Not thread-safe; times are monotonic seconds."""

    def __init__(self, name: str, region: str, domain: str, rng: random.Random):
        self._name = name
        self._region = region
        self._domain = domain
        self._rng = rng
        self._peers: dict[str, member.Member] = {}
        # Requests of this entry that a peer has not answered yet.
        self._outstanding: collections.Counter[str] = collections.Counter()
        # By name and service: until when a peer is not asked.
        self._unable_until_s: dict[tuple[str, str], float] = {}
        # Entries that report to be cut off from all endpoints.
        self._cut_off_until_s: dict[str, float] = {}
        self._names_by_digest: dict[int, str] = {}

    def configure(self, members: collections.abc.Iterable[member.Member]) -> None:
        """Replace the members of the fleet."""
        self._peers = {
            m.name: m
            for m in members
            if m.role == "entry" and m.state == "live" and m.peer_address and m.name != self._name
        }
        self._names_by_digest = {ranking.digest(name): name for name in self._peers}
        self._cut_off_until_s = {
            name: until_s for name, until_s in self._cut_off_until_s.items() if name in self._peers
        }

    def __contains__(self, name: str) -> bool:
        return name in self._peers

    def select(
        self,
        service: str,
        regions: collections.abc.Collection[str],
        asked: collections.abc.Container[str],
        now: float,
    ) -> member.Member | None:
        """Return the entry to ask next, or None.

        ``regions``: those to which the request may go, empty for all; ``asked``: names of entries
        that have refused it. A cut often affects a whole failure domain, so that entries of other
        ones in the region come first. The less busy of two entries drawn by lot is taken.
        """
        tiers: dict[int, list[member.Member]] = {}
        cut_off = self.cut_off(now)
        for peer in self._peers.values():
            is_able = now >= self._unable_until_s.get((peer.name, service), now)
            is_excluded = peer.name in asked or peer.name in cut_off
            if is_able and not is_excluded and (not regions or peer.region in regions):
                tiers.setdefault(self._distance(peer), []).append(peer)
        if not tiers:
            return None
        nearest = tiers[min(tiers)]
        drawn = self._rng.sample(nearest, min(2, len(nearest)))
        return min(drawn, key=lambda peer: self._outstanding[peer.name])

    def _distance(self, peer):
        if peer.region != self._region:
            return 2
        return 1 if peer.failure_domain == self._domain else 0

    def cut_off(self, now: float) -> set[str]:
        """Return the names of the entries that recently reported to be cut off."""
        return {name for name, until_s in self._cut_off_until_s.items() if now < until_s}

    def apply_cut_off_report(self, report: observation.CutOffReport, now: float) -> str:
        """Apply a report of another entry; returns its name if this is news."""
        name = self._names_by_digest.get(report.entry_digest, "")
        if not name:
            return ""
        is_new = now >= self._cut_off_until_s.get(name, now)
        self._cut_off_until_s[name] = now + CUT_OFF_HOLD_S
        return name if is_new else ""

    def record_sent(self, name: str) -> None:
        """Record a request that is sent to a peer."""
        self._outstanding[name] += 1

    def record_end(self, name: str) -> None:
        """Record that a request to a peer has ended."""
        self._outstanding[name] -= 1
        if self._outstanding[name] <= 0:
            del self._outstanding[name]

    def record_unable(self, name: str, service: str, now: float) -> None:
        """Record that a peer found no endpoint of a service, or was not reached."""
        if len(self._unable_until_s) > 4 * len(self._peers):
            self._unable_until_s = {
                key: until_s for key, until_s in self._unable_until_s.items() if until_s > now
            }
        self._unable_until_s[(name, service)] = now + UNABLE_HOLD_S
