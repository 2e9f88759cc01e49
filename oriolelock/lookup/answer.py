"""
oriolelock.lookup.answer
~~~~~~~~~~~~~~~~~~~~~~~~

    Which entries a caller is told to use, best first.
"""

import collections.abc
import dataclasses
import ipaddress

import xxhash

from oriolelock.model import configuration, member

__all__ = ["block_of", "choose"]

IN_REGION = 2
BLOCK_BITS = {4: 24, 6: 56}
PREFERENCE = ("live", "leaving", "down")


def block_of(client: str) -> str:
    """Return the client's block (/24, or /56 for IPv6); raises ValueError."""
    address = ipaddress.ip_address(client)
    bits = BLOCK_BITS[address.version]
    return str(ipaddress.ip_network((address, bits), strict=False))


def _weight(block, service, name):
    return xxhash.xxh3_64_intdigest(f"{block}|{service}|{name}".encode())


def _is_drained(cfg, entry, now):
    names = {
        "entry": entry.name,
        "failure_domain": entry.failure_domain,
        "region": entry.region,
    }
    return any(d.start_s <= now and names.get(d.scope) == d.target for d in cfg.drains.values())


def _usable(cfg, now, leaving):
    entries = [m for m in cfg.members.values() if m.role == "entry"]
    entries = [
        dataclasses.replace(m, state="leaving") if m.name in leaving and m.state == "live" else m
        for m in entries
    ]
    live = [m for m in entries if m.state == "live"]
    kept = [m for m in live if not _is_drained(cfg, m, now)]
    if kept or live:
        return kept or live
    for state in PREFERENCE[1:]:
        kept = [m for m in entries if m.state == state]
        if kept:
            return kept
    return []


def choose(
    cfg: configuration.Configuration,
    client_region: str,
    service: str,
    now: float,
    client: str,
    leaving: collections.abc.Set[str] = frozenset(),
) -> tuple[member.Member, ...]:
    """Return at most 3 entries for ``client`` (an IP address) in ``client_region``.

    Two in the client's region, in distinct failure domains where there are two, then one in
    another region. ``now`` is Unix time. Entries that leave, are down or are drained are left
    out unless there are no others; ``leaving`` names entries that leave although ``cfg`` does
    not say so yet. Entries are ordered by rendezvous hashing (Thaler and
    Ravishankar, 1996) over the client's block, so that callers spread and a change of
    membership moves few of them. Raises ValueError when ``client`` is not an IP address.
    """
    block = block_of(client)
    ranked = sorted(
        _usable(cfg, now, leaving),
        key=lambda m: (_weight(block, service, m.name), m.name),
        reverse=True,
    )
    near = [m for m in ranked if m.region == client_region]
    chosen = near[:1]
    for entry in near[1:]:
        if entry.failure_domain != chosen[0].failure_domain and len(chosen) < IN_REGION:
            chosen.append(entry)
    if len(chosen) < IN_REGION:
        chosen += [m for m in near if m not in chosen][: IN_REGION - len(chosen)]
    far = [m for m in ranked if m.region != client_region]
    if near:
        return (*chosen, *far[:1])
    return tuple(far[: IN_REGION + 1])
