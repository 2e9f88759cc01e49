"""
oriolelock.settings.deployment
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    A whole deployment: regions, failure domains, entries, control replicas and endpoints.

    Launchers derive the settings of single processes from it; the daemons do not read it.
"""

import dataclasses

from oriolelock.settings import getters
from oriolelock.settings import node as nodes

__all__ = ["Deployment", "Place", "PlannedEndpoint", "Region", "parse"]


@dataclasses.dataclass(frozen=True)
class Region:
    """A region and the names of its failure domains."""

    name: str
    failure_domains: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Place:
    """An instance of the system and where it runs."""

    name: str
    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True)
class PlannedEndpoint:
    """An endpoint; ``service_ms`` is the mean service time, for stand-ins."""

    name: str
    service: str
    region: str
    failure_domain: str
    slots: int
    connections: int
    service_ms: float


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Latencies are one way, in milliseconds."""

    cluster: str
    regions: tuple[Region, ...]
    failure_domain_ms: float
    region_ms: float
    client_ms: float
    link_mbits: float
    entries: tuple[Place, ...]
    control: tuple[Place, ...]
    endpoints: tuple[PlannedEndpoint, ...]


def _parse_region(node):
    return Region(getters.get_str(node, "name"), tuple(getters.get_list(node, "failure_domains")))


def _parse_where(node, regions):
    region = getters.get_choice(node, "region", tuple(regions))
    domain = getters.get_choice(node, "failure_domain", regions[region].failure_domains)
    return region, domain


def _parse_place(node, regions):
    return Place(getters.get_str(node, "name"), *_parse_where(node, regions))


def _parse_endpoint(node, regions):
    return PlannedEndpoint(
        getters.get_str(node, "name"),
        getters.get_str(node, "service"),
        *_parse_where(node, regions),
        getters.get_int(node, "slots", low=1),
        getters.get_int(node, "connections", low=1),
        getters.get_ms(node, "service_time"),
    )


def parse(top: nodes.Node) -> Deployment:
    """Return the deployment in ``top``; raises SettingsError."""
    regions = {}
    for node in getters.get_nodes(top, "regions"):
        region = _parse_region(node)
        regions[region.name] = region
    latency = getters.get_node(top, "latency")

    def places(key):
        return tuple(_parse_place(node, regions) for node in getters.get_nodes(top, key))

    found = Deployment(
        cluster=getters.get_str(top, "cluster"),
        regions=tuple(regions.values()),
        failure_domain_ms=getters.get_ms(latency, "failure_domains"),
        region_ms=getters.get_ms(latency, "regions"),
        client_ms=getters.get_ms(latency, "clients"),
        link_mbits=getters.get_float(top, "link_mbits"),
        entries=places("entries"),
        control=places("control"),
        endpoints=tuple(
            _parse_endpoint(node, regions) for node in getters.get_nodes(top, "endpoints")
        ),
    )
    for key in ("entries", "control", "endpoints"):
        names = [item.name for item in getattr(found, key)]
        if not names or len(set(names)) != len(names):
            raise top.fail(key, names, "at least one, with names that differ")
    return found
