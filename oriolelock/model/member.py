"""
oriolelock.model.member
~~~~~~~~~~~~~~~~~~~~~~~

    An instance of the system itself.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["STATES", "Member", "is_registered_replica"]

STATES = ("live", "leaving", "down")


@codec.register("member")
@dataclasses.dataclass(frozen=True)
class Member:
    """``role``: entry or control. ``address`` serves HTTP, ``link_address`` websockets.

    ``peer_address`` serves requests that other entries delegate, empty for none.
    """

    name: str
    role: str
    address: str
    link_address: str
    region: str
    failure_domain: str
    state: str = "live"
    peer_address: str = ""


def is_registered_replica(peer: Member) -> bool:
    """Return whether a member is a control replica that has registered itself.

    It is named by its link address. Replicas in an instance list have other names.
    """
    return peer.role == "control" and peer.name == peer.link_address
