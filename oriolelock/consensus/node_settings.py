"""
oriolelock.consensus.node_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Identity and timing of one node.
"""

import dataclasses

__all__ = ["NodeSettings"]


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """``incarnation`` is the random id of the data folder. Times are in seconds.

    ``preferred``: this replica should lead its group when it is up to date.
    """

    name: str
    incarnation: str
    heartbeat_s: float = 0.25
    election_min_s: float = 1.5
    election_max_s: float = 3.0
    preferred: bool = False
