"""
oriolelock.control.preferences
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which replica should lead which group, so that the leaders are spread over regions.
"""

import collections

from oriolelock.settings import control as settings

__all__ = ["preferred_leader"]


def preferred_leader(group: str, peers: tuple[settings.PeerSettings, ...]) -> str:
    """Return the name of the replica that should lead ``group``.

    Takes turns over the regions first, then over the replicas of a region. The first turn
    belongs to ``config``.
    """
    by_region = collections.defaultdict(list)
    for peer in sorted(peers, key=lambda peer: peer.name):
        by_region[peer.region].append(peer.name)
    order = []
    while any(by_region.values()):
        order.extend(names.pop(0) for _, names in sorted(by_region.items()) if names)
    turn = 0 if group == "config" else 1 + int(group.rpartition("-")[2])
    return order[turn % len(order)]
