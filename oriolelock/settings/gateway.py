"""
oriolelock.settings.gateway
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of the entry for routes; they are read from the file of the platform it runs on.
"""

import dataclasses
import typing

__all__ = ["GatewaySettings"]

Address: typing.TypeAlias = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Durations in seconds. ``control``: link addresses of control replicas to start from.
    ``peer_listen``: for requests that other entries delegate.

    ``retry_ratio``, ``retry_allowance``, ``retry_window_s``: the fleet's budget for sending
    requests once more, per service. ``shift_speed``: how fast the part of requests that run
    outside of the region may change, per second.
    ``grace_s``: from SIGTERM to the end of the process.
    """

    name: str
    cluster: str
    region: str
    failure_domain: str
    listen: Address
    ready_listen: Address
    lookup_listen: Address | None
    link_listen: Address
    peer_listen: Address
    metrics_listen: Address | None
    control: tuple[Address, ...]
    cluster_token: str = dataclasses.field(repr=False)
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    shift_speed: float
    grace_s: float
    log_level: str
