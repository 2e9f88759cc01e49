"""
oriolelock.bench.fleet_options
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What a fleet is to look like.
"""

import dataclasses

__all__ = ["FleetOptions"]


@dataclasses.dataclass(frozen=True)
class FleetOptions:
    """Durations are texts with a unit, as in settings files.

    ``entries``: how many of the deployment's entries run, None for all.
    ``separate_endpoints``: a process for each endpoint instead of one for each service.
    ``links``: control traffic goes through emulated links with the deployment's latencies.
    ``service_time``: replaces that of the deployment.
    ``stored_copies``: entries keep a copy of the configuration in a data folder.
    """

    entries: int | None = None
    separate_endpoints: bool = False
    links: bool = False
    service_time: str | None = None
    endpoint_queue: int = 4
    distribution: str = "exponential"
    seed: int = 1
    cold_start: str = "0 s"
    lookup_ttl: str = "1 s"
    leave_lag: str = "1 s"
    drain_timeout: str = "20 s"
    instance_lag: str = "0 s"
    instance_poll: str = "250 ms"
    record_groups: int = 3
    entry_threads: int = 192
    picker: str = "p2c"
    stored_copies: bool = False
    log_level: str = "INFO"
