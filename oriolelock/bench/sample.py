"""
oriolelock.bench.sample
~~~~~~~~~~~~~~~~~~~~~~~

    Configurations of a given size, for measurements.
"""

from oriolelock.model import (
    changes,
    configuration,
    endpoint,
    member,
    operation,
    preset,
    priority,
    service_policy,
)

__all__ = [
    "make_blocks",
    "make_configuration",
    "make_endpoint",
    "make_member",
    "make_member_change",
    "make_regions",
]

REGIONS = 28
FAILURE_DOMAINS = 57
SERVICES = 8


def _domain(n):
    domain = n % FAILURE_DOMAINS
    return f"region-{domain % REGIONS}", f"domain-{domain}"


def make_member(n: int, state: str = "live") -> member.Member:
    """Return entry number ``n``; entries are spread over the failure domains in turn."""
    region, domain = _domain(n)
    host = f"10.{n >> 16}.{(n >> 8) & 255}.{n & 255}"
    return member.Member(
        f"entry-{n:05d}", "entry", f"{host}:8080", f"{host}:8081", region, domain, state
    )


def make_endpoint(n: int, slots: int = 6, address: str = "") -> endpoint.Endpoint:
    """Return endpoint number ``n``, one per site."""
    region, domain = _domain(n)
    return endpoint.Endpoint(
        f"endpoint-{n:05d}",
        f"service-{n // FAILURE_DOMAINS % SERVICES}",
        address or f"10.200.{n >> 8}.{n & 255}:9000",
        region,
        domain,
        slots,
        400,
    )


def _make_preset():
    op = operation.Operation("read", priority.Priority.NORMAL, True, 2000.0)
    services = tuple(
        service_policy.ServicePolicy(
            f"service-{n}", (op,), {f"region-{r}": 1.0 for r in range(REGIONS)}, 100, 50
        )
        for n in range(SERVICES)
    )
    return preset.Preset("day", services, {}, 0.1, 1000.0, 0.05, 4000.0, 0.8)


def make_blocks(count: int, sites: int) -> tuple[tuple[str, str], ...]:
    """Return ``count`` client blocks (/24) assigned to ``sites`` sites in turn."""
    return tuple(
        (f"{n >> 16}.{(n >> 8) & 255}.{n & 255}.0/24", f"site-{n % sites}") for n in range(count)
    )


def make_regions(sites: int) -> dict[str, str]:
    """Return the region of each site."""
    return {f"site-{n}": f"region-{n % REGIONS}" for n in range(sites)}


def make_configuration(
    members: int, endpoints: int, block_sites: bytes = b""
) -> configuration.Configuration:
    """Return a configuration with one preset in force."""
    return configuration.Configuration(
        index=10,
        version=1,
        in_force="day",
        presets={"day": _make_preset()},
        members={m.name: m for m in map(make_member, range(members))},
        endpoints={e.name: e for e in map(make_endpoint, range(endpoints))},
        block_sites=block_sites,
    )


def make_member_change(n: int) -> changes.SetMember:
    """Return change number ``n`` of a series that sets entries leaving and live in turn."""
    return changes.SetMember(make_member(n // 2, "live" if n % 2 else "leaving"))
