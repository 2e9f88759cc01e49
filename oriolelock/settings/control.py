"""
oriolelock.settings.control
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Settings of a control replica.
"""

import dataclasses

from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["ControlSettings", "PeerSettings", "parse"]

LOG_LEVELS = ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL")
DEFAULT_POLL_MS = 1000.0
# A group needs a leader and a log per replica; more groups than this only add heartbeats.
MAX_RECORD_GROUPS = 64
# Tokens shorter than this can be guessed over the network.
MIN_TOKEN_LENGTH = 8


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """One replica: ``address`` serves HTTP, ``link_address`` websockets."""

    name: str
    link_address: tuple[str, int]
    address: tuple[str, int]
    region: str


@dataclasses.dataclass(frozen=True)
class ControlSettings:
    """All settings of one control replica. ``peers`` includes the replica itself."""

    name: str
    cluster: str
    region: str
    failure_domain: str
    listen: tuple[str, int]
    link_listen: tuple[str, int]
    data_folder: str
    peers: tuple[PeerSettings, ...]
    record_groups: int
    operator_token: str = dataclasses.field(repr=False)
    cluster_token: str = dataclasses.field(repr=False)
    instance_list: str
    instance_poll_s: float
    snapshot_every: int
    log_level: str
    log_json: bool
    statsd: tuple[str, int] | None
    # Link addresses of replicas to start from, where ``peers`` is empty; the own name is then
    # the own link address.
    seeds: tuple[tuple[str, int], ...] = ()
    # Voters that are left at least when one that is silent is removed.
    min_voters: int = 3
    # Range of the time without a heartbeat after which a replica stands for election.
    election_s: tuple[float, float] = (1.5, 3.0)

    def groups(self) -> tuple[str, ...]:
        """Return the names of all groups, the configuration first."""
        return ("config", *(f"record-{n}" for n in range(self.record_groups)))

    def others(self) -> tuple[PeerSettings, ...]:
        """Return the other replicas."""
        return tuple(peer for peer in self.peers if peer.name != self.name)


def parse(top: nodes.Node) -> ControlSettings:
    """Return the settings in ``top``; raises SettingsError."""
    name = getters.get_str(top, "name")
    log = getters.get_node(top, "log", {})
    seeds = _parse_seeds(top, name)
    return ControlSettings(
        name=name,
        cluster=getters.get_str(top, "cluster"),
        region=getters.get_str(top, "region"),
        failure_domain=getters.get_str(top, "failure_domain"),
        listen=getters.get_address(top, "listen"),
        link_listen=getters.get_address(top, "link_listen"),
        data_folder=getters.get_str(top, "data_folder"),
        peers=() if seeds else _parse_peers(top, name),
        record_groups=getters.get_int(top, "record_groups", 1, 0, MAX_RECORD_GROUPS),
        operator_token=_parse_token(top, "operator_token"),
        cluster_token=_parse_token(top, "cluster_token"),
        instance_list=_parse_url(top, "instance_list"),
        instance_poll_s=getters.get_ms(top, "instance_poll", DEFAULT_POLL_MS, 100.0, 60e3) / 1000,
        snapshot_every=getters.get_int(top, "snapshot_every", 2000, 10, 1_000_000),
        log_level=getters.get_choice(log, "level", LOG_LEVELS, "INFO"),
        log_json=getters.get_bool(log, "json", False),
        statsd=getters.get_address(top, "statsd", None),
        seeds=seeds,
        min_voters=getters.get_int(top, "min_voters", 3, 1),
    )


def _parse_seeds(top, name):
    listed = getters.get_list(top, "seeds", [])
    node = top.child("seeds", {f"[{n}]": item for n, item in enumerate(listed)})
    names = node.keys()
    seeds = tuple(getters.get_address(node, key) for key in names)
    if seeds and getters.get_address(top, "link_listen") != getters.get_address(top, "name"):
        raise top.fail("name", name, "the own link address, where replicas start from seeds")
    return seeds


def _parse_peers(top, name):
    peers = []
    for node in getters.get_nodes(top, "peers"):
        peers.append(
            PeerSettings(
                name=getters.get_str(node, "name"),
                link_address=getters.get_address(node, "link_address"),
                address=getters.get_address(node, "address"),
                region=getters.get_str(node, "region"),
            )
        )
    names = [peer.name for peer in peers]
    if len(set(names)) != len(names):
        raise top.fail("peers", names, "names that differ")
    if name not in names:
        raise top.fail("peers", names, f"a list that includes this replica, {name!r}")
    return tuple(peers)


def _parse_token(top, key):
    token = getters.get_str(top, key)
    if len(token) < MIN_TOKEN_LENGTH:
        # The token itself must not appear in the error line.
        raise top.fail(key, "(hidden)", f"at least {MIN_TOKEN_LENGTH} characters")
    return token


def _parse_url(top, key):
    url = getters.get_str(top, key, "")
    if url and not url.startswith("http://"):
        raise top.fail(key, url, "an http:// URL")
    return url
