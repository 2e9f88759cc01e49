"""
oriolelock.distribution.parent_finder
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Chooses and asks the parents that an entry may have, and keeps a spare connection to one.
"""

import collections.abc
import dataclasses
import random

from oriolelock import clock
from oriolelock.distribution import (
    errors,
    messages,
    parent_race,
    parent_search,
    spare_connection,
)
from oriolelock.model import configuration, member
from oriolelock.wire import channel, hello

__all__ = ["FAILED_PARENT_PENALTY_S", "ParentFinder"]

FAILED_PARENT_PENALTY_S = 30.0
# From a connection to the first confirmation. A parent that can't confirm yet may be able to before
# another one is found.
CONFIRMATION_LIMIT_S = 1.2
# Until the next parent is tried as well. A starting fleet must not connect several times over.
FIRST_RACE_INTERVAL_S = 0.6
NEXT_RACE_INTERVAL_S = 0.15
# An entry and a control replica are asked at once.
NEXT_RACE_FIRST = 2
# Limits and intervals double with each round in which attempts reach them: when all instances are
# busy, searches with short limits would keep them so.
MAX_PATIENCE_DOUBLINGS = 2
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.6
# Entries that are asked for their configuration when no parent answers.
MAX_ASKED_ENTRIES = 3

Parents = collections.abc.Callable[
    [configuration.Configuration], collections.abc.Sequence[channel.Address]
]


class ParentFinder:
    """``parents(cfg)`` returns the addresses to try, best first; ``held()`` the configuration that
    the entry holds. ``on_message`` is called with what arrives over the spare connection.

    ``maintain_spare``, ``avoid`` and the orders belong to the uplink's thread, or to that of the
    one search that is in progress.
    """

    def __init__(
        self,
        greeting: hello.Hello,
        parents: Parents,
        held: collections.abc.Callable[[], configuration.Configuration],
        rng: random.Random,
        on_message: collections.abc.Callable[[object], None] = lambda msg: None,
    ):
        self._hello = greeting
        self._parents = parents
        self._held = held
        self._rng = rng
        # Members, and the control replicas among them by address.
        self._replicas: tuple[collections.abc.Mapping, dict[channel.Address, member.Member]] = (
            {},
            {},
        )
        # The monotonic time until which other addresses are preferred to one that failed.
        self._avoid_until_s: dict[channel.Address, float] = {}
        self.spare = spare_connection.SpareConnection(self._connect_spare, rng, on_message)

    def order(self, now: float) -> list[channel.Address]:
        """Return the parents that have not failed recently, then the others, earliest first."""
        addresses = list(self._parents(self._held()))
        return sorted(addresses, key=lambda a: max(now, self._avoid_until_s.get(a, 0.0)))

    def avoid(self, address: channel.Address, penalty_s: float, now: float) -> None:
        """Prefer other addresses for ``penalty_s`` seconds."""
        self._avoid_until_s = {a: t for a, t in self._avoid_until_s.items() if t > now}
        self._avoid_until_s[address] = now + penalty_s

    def is_replica(self, address: channel.Address) -> bool:
        """Return whether a control replica that is a member has this address."""
        return address in self._replicas_by_address()

    def _replicas_by_address(self):
        members, replicas = self._replicas
        if members is not self._held().members:
            members = self._held().members
            replicas = {
                address: peer
                for peer in members.values()
                if peer.role == "control"
                for address in _link_addresses(peer)
            }
            self._replicas = members, replicas
        return replicas

    def pause_s(self, failures: int) -> float:
        """Return the seconds to wait after so many failures in series."""
        max_delay_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(failures, 10))
        return self._rng.uniform(BACKOFF_MIN_S / 2, max_delay_s)

    def search(
        self, current: collections.abc.Callable[[], channel.Address | None]
    ) -> parent_search.ParentSearch:
        """Ask all parents until one confirms; ``current()``: the one that is connected, if any."""
        return parent_search.ParentSearch(
            lambda stopping, slow_rounds: self._run_race(current(), stopping, slow_rounds),
            self.pause_s,
        )

    def try_one(self, address: channel.Address) -> parent_search.ParentSearch:
        """Ask one parent, once."""
        return parent_search.ParentSearch(
            lambda stopping, slow_rounds: self._race_for([address], stopping), lambda rounds: None
        )

    def maintain_spare(self, parent: channel.Address, now: float) -> None:
        """Keep a connection to another parent than ``parent``, to be called often."""
        failed = self.spare.maintain(parent, lambda: self._choose_spare(parent, now), now)
        for address in failed:
            self.avoid(address, FAILED_PARENT_PENALTY_S, now)

    def _choose_spare(self, parent, now):
        """Return a replica if possible, and one that is not lost together with the parent.

        Entries of a failure domain often fail together, or have lost the same parent.
        """
        replicas = self._replicas_by_address()
        domain = self._domain_of(parent)

        def rank(address):
            is_avoided = self._avoid_until_s.get(address, 0.0) > now
            is_near = address in replicas and replicas[address].failure_domain == domain
            return is_avoided, address not in replicas, is_near

        others = [address for address in self.order(now) if address != parent]
        return min(others, key=rank, default=None)

    def _domain_of(self, address):
        members = self._held().members.values()
        domains = (peer.failure_domain for peer in members if address in _link_addresses(peer))
        return next(domains, "")

    def _connect_spare(self, address):
        return channel.connect(
            address, self._hello, spare_connection.CONNECT_LIMIT_S, offer_compression=True
        )

    def _make_race(self, slow_rounds):
        index = self._held().index
        patience = 2.0 ** min(slow_rounds, MAX_PATIENCE_DOUBLINGS)
        starts = (NEXT_RACE_INTERVAL_S, NEXT_RACE_FIRST) if index else (FIRST_RACE_INTERVAL_S, 1)
        return parent_race.ParentRace(
            self._hello, index, CONFIRMATION_LIMIT_S, *starts, patience=patience
        )

    def _run_race(self, current, stopping, slow_rounds):
        """Ask all parents, and other entries if none of them answers. Runs in a search's thread."""
        now = clock.monotonic_s()
        addresses = parent_search.interleave(self.order(now), self._replicas_by_address())
        # A connection may be dead while new ones to the same address work.
        addresses.sort(key=lambda address: address == current)
        result = self._race_for(addresses, stopping, slow_rounds, self.spare.take(now))
        if result.connected is None and not result.unconfirmed and current is None:
            learned = self._ask_other_entries(stopping)
            return dataclasses.replace(result, unconfirmed=learned)
        return result

    def _race_for(self, addresses, stopping, slow_rounds=0, spare=None):
        race = self._make_race(slow_rounds)
        try:
            connected = race.run(addresses, stopping, spare)
        except errors.Disconnected:
            return parent_search.Round(None, frozenset(race.unfit), tuple(race.unconfirmed))
        return parent_search.Round(connected, frozenset(race.unfit), ())

    def _ask_other_entries(self, stopping):
        """Return the configuration of another entry, which may name replicas unknown here.

        It is not kept as a parent, whose place in the tree it may not have: entries that subscribe
        to each other would confirm their configurations in a circle.
        """
        others = [
            address
            for peer in self._held().members.values()
            if peer.role == "entry" and peer.state == "live" and peer.name != self._hello.name
            for address in _link_addresses(peer)
        ]
        asked = self._rng.sample(others, min(MAX_ASKED_ENTRIES, len(others)))
        result = self._race_for(asked, stopping)
        received = result.unconfirmed
        if result.connected is not None:
            result.connected.link.close()
            received = result.connected.received
        return tuple(
            dataclasses.replace(msg, confirmed=False)
            for msg in received
            if isinstance(msg, messages.Snapshot | messages.Delta)
        )


def _link_addresses(peer):
    """Return the link address of a member in a tuple, which is empty if it has none."""
    host, _, port = peer.link_address.rpartition(":")
    return ((host, int(port)),) if host and port.isdigit() else ()
