"""
oriolelock.settings.gateway
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of the entry for routes.
"""

import dataclasses
import typing

from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["GatewaySettings", "parse"]

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")

Address: typing.TypeAlias = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Durations in seconds. ``control``: link addresses of control replicas to start from.

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
    metrics_listen: Address | None
    control: tuple[Address, ...]
    cluster_token: str = dataclasses.field(repr=False)
    retry_ratio: float
    retry_allowance: float
    retry_window_s: float
    shift_speed: float
    grace_s: float
    log_level: str


def parse(top: nodes.Node) -> GatewaySettings:
    """Return the settings in ``top``; raises SettingsError."""
    log = getters.get_node(top, "log", {})
    retries = getters.get_node(top, "retries", {})
    listed = getters.get_list(top, "control")
    control = top.child("control", {f"[{n}]": item for n, item in enumerate(listed)})
    names = control.keys()
    return GatewaySettings(
        name=getters.get_str(top, "name"),
        cluster=getters.get_str(top, "cluster"),
        region=getters.get_str(top, "region"),
        failure_domain=getters.get_str(top, "failure_domain"),
        listen=getters.get_address(top, "listen"),
        ready_listen=getters.get_address(top, "ready_listen"),
        lookup_listen=getters.get_address(top, "lookup_listen", None),
        link_listen=getters.get_address(top, "link_listen"),
        metrics_listen=getters.get_address(top, "metrics_listen", None),
        control=tuple(getters.get_address(control, name) for name in names),
        cluster_token=getters.get_str(top, "cluster_token"),
        retry_ratio=getters.get_float(retries, "ratio", 0.1, high=1.0),
        retry_allowance=getters.get_float(retries, "allowance", 20.0),
        retry_window_s=getters.get_ms(retries, "window", 10_000.0, low=100.0) / 1000,
        shift_speed=getters.get_float(top, "shift_speed", 0.04, high=1.0),
        grace_s=getters.get_ms(top, "grace", 6000.0, low=100.0) / 1000,
        log_level=getters.get_choice(log, "level", LOG_LEVELS, "INFO"),
    )
