"""
oriolelock.lookup.directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Which entries a caller is told to use, best first.

    Built once per change of the members, so that a lookup costs the same with ten entries as
    with thousands.
"""

import collections.abc

import xxhash

from oriolelock.lookup import client_block, ring
from oriolelock.model import configuration, member

__all__ = ["Directory"]

IN_REGION = 2
LISTED = 3
PREFERENCE = ("live", "leaving", "down")


def _best_state(entries):
    for state in PREFERENCE:
        found = [m for m in entries if m.state == state]
        if found:
            return found
    return []


def _drain_starts(cfg, entries):
    """Return the earliest start of a drain (Unix time) by name of the drained entries."""
    starts: dict[str, float] = {}
    for planned in cfg.drains.values():
        for m in entries:
            if planned.covers_entry(m):
                starts[m.name] = min(planned.start_s, starts.get(m.name, planned.start_s))
    return starts


class Directory:
    """Read-only, for one configuration. ``former``: the one before, whose rings are reused
    when the members have not changed."""

    def __init__(self, cfg: configuration.Configuration, former: "Directory | None" = None):
        self._members = cfg.members
        if former is not None and former._members is cfg.members:
            self._entries = former._entries
            self._all, self._by_region = former._all, former._by_region
        else:
            self._entries = _best_state([m for m in cfg.members.values() if m.role == "entry"])
            self._all = ring.Ring(self._entries)
            by_region: dict[str, list[member.Member]] = {}
            for m in self._entries:
                by_region.setdefault(m.region, []).append(m)
            self._by_region = {name: ring.Ring(found) for name, found in by_region.items()}
        self._drain_starts = _drain_starts(cfg, self._entries)

    def choose(
        self,
        client_region: str,
        service: str,
        wall_s: float,
        client: str,
        leaving: collections.abc.Set[str] = frozenset(),
    ) -> tuple[member.Member, ...]:
        """Return at most 3 entries for ``client`` (an IP address) in ``client_region``.

        Two in the client's region, in distinct failure domains where there are two, then one
        in another region. ``wall_s`` is Unix time. Entries that leave, are down or are drained
        are left out unless there are no others; ``leaving`` names entries that leave although
        the configuration does not say so yet. Raises ValueError when ``client`` is not an IP
        address.
        """
        block = client_block.block_of(client)
        key = xxhash.xxh3_64_intdigest(f"{block}|{service}".encode())

        def usable(m):
            return m.name not in leaving and self._drain_starts.get(m.name, wall_s + 1) > wall_s

        return self._choose(client_region, key, usable) or self._choose(
            client_region, key, lambda m: True
        )

    def _choose(self, region, key, usable):
        near = self._choose_near(region, key, usable)
        wanted = LISTED if not near else 1
        far = []
        for m in self._all.walk(key):
            if len(far) == wanted:
                break
            if m.region != region and usable(m):
                far.append(m)
        return (*near, *far)

    def _choose_near(self, region, key, usable):
        found = self._by_region.get(region)
        first = spare = None
        for m in found.walk(key) if found else ():
            if not usable(m):
                continue
            if first is None:
                first = m
            elif m.failure_domain != first.failure_domain:
                return [first, m]
            elif spare is None:
                spare = m
        return [m for m in (first, spare) if m is not None][:IN_REGION]
