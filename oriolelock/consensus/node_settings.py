"""
oriolelock.consensus.node_settings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The identity and timeouts of a node.
"""

import dataclasses

__all__ = ["NodeSettings"]


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """``incarnation`` is the random id of the data folder. Times are in seconds.

    A ``preferred`` replica requests leadership of its group when it is up to date.
    """

    name: str
    incarnation: str
    heartbeat_s: float = 0.25
    election_min_s: float = 1.5
    election_max_s: float = 3.0
    preferred: bool = False
