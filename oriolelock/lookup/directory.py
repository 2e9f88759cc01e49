"""
oriolelock.lookup.directory
~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Selects the entries that a client should use, best first.

    The hash rings are rebuilt only when the members change, so a lookup costs the same with ten
    entries as with thousands.
"""

import collections.abc

import xxhash

from oriolelock.lookup import client_block, ring
from oriolelock.model import configuration, member

__all__ = ["Directory"]

MAX_LOCAL_ENTRIES = 2
MAX_ENTRIES = 3
STATE_PREFERENCE = ("live", "leaving", "down")


def _entries_in_best_state(entries):
    for state in STATE_PREFERENCE:
        matching = [m for m in entries if m.state == state]
        if matching:
            return matching
    return []


def _drain_starts(cfg, entries):
    """Return the earliest drain start (Unix time) by name of drained entry."""
    starts: dict[str, float] = {}
    for planned_drain in cfg.drains.values():
        for entry in entries:
            if planned_drain.covers_entry(entry):
                starts[entry.name] = min(
                    planned_drain.start_s, starts.get(entry.name, planned_drain.start_s)
                )
    return starts


class Directory:
    """Read-only directory for one configuration.

    ``previous``: the directory of the previous configuration; its hash rings are reused if the
    members have not changed.
    """

    def __init__(self, cfg: configuration.Configuration, previous: "Directory | None" = None):
        self._members = cfg.members
        if previous is not None and previous._members is cfg.members:
            self._entries = previous._entries
            self._all_regions_ring, self._region_rings = (
                previous._all_regions_ring,
                previous._region_rings,
            )
        else:
            self._entries = _entries_in_best_state(
                [m for m in cfg.members.values() if m.role == "entry"]
            )
            self._all_regions_ring = ring.Ring(self._entries)
            by_region: dict[str, list[member.Member]] = {}
            for m in self._entries:
                by_region.setdefault(m.region, []).append(m)
            self._region_rings = {
                name: ring.Ring(region_entries) for name, region_entries in by_region.items()
            }
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

        Two are in the client's region, in distinct failure domains if possible, and one is in
        another region. ``wall_s`` is Unix time. Entries that are leaving, down or drained are
        excluded unless there are no others; ``leaving`` names entries that are leaving although
        the configuration does not show it yet. Raises ValueError if ``client`` is not an IP
        address.
        """
        block = client_block.block_of(client)
        key = xxhash.xxh3_64_intdigest(f"{block}|{service}".encode())

        def is_eligible(entry):
            return (
                entry.name not in leaving
                and self._drain_starts.get(entry.name, wall_s + 1) > wall_s
            )

        return self._choose(client_region, key, is_eligible) or self._choose(
            client_region, key, lambda entry: True
        )

    def _choose(self, region, key, is_eligible):
        local = self._choose_local(region, key, is_eligible)
        remote_count = MAX_ENTRIES if not local else 1
        remote = []
        for entry in self._all_regions_ring.walk(key):
            if len(remote) == remote_count:
                break
            if entry.region != region and is_eligible(entry):
                remote.append(entry)
        return (*local, *remote)

    def _choose_local(self, region, key, is_eligible):
        region_ring = self._region_rings.get(region)
        first = same_domain = None
        for entry in region_ring.walk(key) if region_ring else ():
            if not is_eligible(entry):
                continue
            if first is None:
                first = entry
            elif entry.failure_domain != first.failure_domain:
                return [first, entry]
            elif same_domain is None:
                same_domain = entry
        return [entry for entry in (first, same_domain) if entry is not None][:MAX_LOCAL_ENTRIES]
