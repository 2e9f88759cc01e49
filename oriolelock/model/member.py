"""
oriolelock.model.member
~~~~~~~~~~~~~~~~~~~~~~~

    An instance of the system itself.
"""

import dataclasses

from oriolelock.wire import codec

__all__ = ["STATES", "Member"]

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
