"""
oriolelock.settings.entry
~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of the entry daemon.
"""

import dataclasses
import typing

from oriolelock.routing import pickers
from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["EntrySettings", "parse"]

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")
MIN_THREADS = 4
MAX_THREADS = 512
MIN_HEADER_BYTES = 1024

Address: typing.TypeAlias = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class EntrySettings:
    """Durations end in ``_s`` (seconds); ``max_body`` and ``max_headers`` are bytes."""

    name: str
    cluster: str
    region: str
    failure_domain: str
    listen: Address
    link_listen: Address | None
    control: tuple[Address, ...]
    cluster_token: str = dataclasses.field(repr=False)
    data_folder: str | None
    threads: int
    worker_slots: int
    picker: str
    max_body: int
    max_headers: int
    lookup_ttl_s: float
    leave_lag_s: float
    drain_timeout_s: float
    log_level: str
    log_json: bool
    statsd: Address | None


def _addresses(top: nodes.Node, key: str) -> tuple[Address, ...]:
    items = getters.get_list(top, key)
    if not items:
        raise top.fail(key, items, "at least one address")
    listed = top.child(key, {f"[{n}]": item for n, item in enumerate(items)})
    names = listed.keys()
    return tuple(getters.get_address(listed, name) for name in names)


def _max_headers(top: nodes.Node) -> int:
    size = getters.get_bytes(top, "max_headers", 32 * 1024)
    if size < MIN_HEADER_BYTES:
        raise top.fail("max_headers", size, f"at least {MIN_HEADER_BYTES} bytes")
    return size


def parse(top: nodes.Node) -> EntrySettings:
    """Return the settings of an entry; raises SettingsError."""
    log = top.child("log", top.fetch("log", {}))
    # Half of the threads may wait in queues, so that at most half may be worker slots.
    threads = getters.get_int(top, "threads", 192, low=MIN_THREADS, high=MAX_THREADS)
    return EntrySettings(
        name=getters.get_str(top, "name"),
        cluster=getters.get_str(top, "cluster"),
        region=getters.get_str(top, "region"),
        failure_domain=getters.get_str(top, "failure_domain"),
        listen=getters.get_address(top, "listen"),
        link_listen=getters.get_address(top, "link_listen", None),
        control=_addresses(top, "control"),
        cluster_token=getters.get_str(top, "cluster_token"),
        data_folder=getters.get_str(top, "data_folder", None),
        threads=threads,
        worker_slots=getters.get_int(
            top, "worker_slots", max(1, threads // 3), low=1, high=threads // 2
        ),
        picker=getters.get_choice(top, "picker", tuple(pickers.PICKERS), "p2c"),
        max_body=getters.get_bytes(top, "max_body", 1 << 20),
        max_headers=_max_headers(top),
        lookup_ttl_s=getters.get_ms(top, "lookup_ttl", 5000.0, low=1) / 1000,
        leave_lag_s=getters.get_ms(top, "leave_lag", 3000.0) / 1000,
        drain_timeout_s=getters.get_ms(top, "drain_timeout", 30_000.0) / 1000,
        log_level=getters.get_choice(log, "level", LOG_LEVELS, "INFO"),
        log_json=getters.get_bool(log, "json", False),
        statsd=getters.get_address(top, "statsd", None),
    )
