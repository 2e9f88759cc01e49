"""
oriolelock.control.preferences
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Preferred leader of each group, chosen so that leaders are spread over regions.
"""

import collections

from oriolelock.settings import control as settings

__all__ = ["preferred_leader"]


def preferred_leader(group: str, peers: tuple[settings.PeerSettings, ...]) -> str:
    """Return the name of the replica that should lead ``group``.

    Groups are assigned round-robin over the regions, and over the replicas within a region.
    ``config`` comes first, then the record groups by number.
    """
    by_region = collections.defaultdict(list)
    for peer in sorted(peers, key=lambda peer: peer.name):
        by_region[peer.region].append(peer.name)
    candidates = []
    while any(by_region.values()):
        candidates.extend(names.pop(0) for _, names in sorted(by_region.items()) if names)
    position = 0 if group == "config" else 1 + int(group.rpartition("-")[2])
    return candidates[position % len(candidates)]
