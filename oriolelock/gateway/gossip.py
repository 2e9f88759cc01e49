"""
oriolelock.gateway.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~

    Tells other entries of the region what answers have told of endpoints, by datagrams.

    Each round goes to a few entries drawn by lot, so that the cost of an entry does not grow
    with the fleet. A lost datagram only leaves a belief older than it could be.
"""

import collections.abc
import hashlib
import random
import selectors
import socket

import cbor2

from oriolelock import clock, events
from oriolelock.dispatch import endpoint_view, observation
from oriolelock.http1 import loop as loops

__all__ = ["Gossip", "Unreadable", "decode", "encode"]

INTERVAL_S = 0.2
# Entries that hear of each round.
FAN_OUT = 5
# Older observations say too little of the load to be worth a datagram.
MAX_AGE_S = 1.0
# Of about 16 bytes each, to stay below the usual MTU of 1,500 bytes.
MAX_IN_DATAGRAM = 70
MAX_PENDING = 2 * MAX_IN_DATAGRAM
MAX_DATAGRAM_BYTES = 1400
# Datagrams read at one wake-up, so that requests get their turn.
MAX_READ = 32
TAG_BYTES = 8
FORMAT = 1

Address = tuple[str, int]
log = events.Events("gossip")


class Unreadable(Exception):
    """A datagram that is damaged, of another format or not from this cluster."""


def _tag(payload, token):
    return hashlib.blake2b(payload, digest_size=TAG_BYTES, key=token.encode()[:64]).digest()


def encode(found: collections.abc.Iterable[observation.Observation], token: str) -> bytes:
    """Return a datagram with ``found``, signed by the token of the cluster."""
    rows = []
    for item in found:
        load = item.load
        more = (load.running, load.waiting, load.slots) if load else ()
        rows.append((item.endpoint_digest, item.object_digest, *more))
    payload = cbor2.dumps((FORMAT, rows))
    return _tag(payload, token) + payload


def decode(data: bytes, token: str) -> list[observation.Observation]:
    """Return what a datagram tells; raises Unreadable."""
    payload = data[TAG_BYTES:]
    if data[:TAG_BYTES] != _tag(payload, token):
        raise Unreadable("wrong signature")
    try:
        version, rows = cbor2.loads(payload)
        if version != FORMAT:
            raise Unreadable(f"format {version}")
        return [_observation(*row) for row in rows]
    except (cbor2.CBORDecodeError, TypeError, ValueError) as exc:
        raise Unreadable(str(exc)) from exc


def _observation(endpoint, object_digest, *load):
    if not all(isinstance(value, int) and value >= 0 for value in (endpoint, object_digest, *load)):
        raise ValueError("not a number")
    return observation.Observation(
        endpoint, object_digest, endpoint_view.Load(*load) if load else None
    )


class Gossip:
    """Not thread-safe: used in the loop's thread. ``hear(found)`` takes each observation."""

    def __init__(
        self,
        loop: loops.Loop,
        address: Address,
        token: str,
        hear: collections.abc.Callable[[observation.Observation], None],
        rng: random.Random,
    ):
        self._token = token
        self._hear = hear
        self._rng = rng
        self._peers: list[Address] = []
        self._pending: list[tuple[float, observation.Observation]] = []
        self.sent = self.received = self.unreadable = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        loop.watch(self._sock, selectors.EVENT_READ, self._on_readable)
        loop.call_each(INTERVAL_S, self._round)

    def use_peers(self, peers: collections.abc.Iterable[Address]) -> None:
        """Use these entries from now on."""
        self._peers = sorted(peers)

    def tell(self, found: observation.Observation) -> None:
        """Pass on an observation with the next round; the oldest give way when there are many."""
        self._pending.append((clock.monotonic_s(), found))
        del self._pending[:-MAX_PENDING]

    def _round(self):
        now = clock.monotonic_s()
        fresh = [found for at_s, found in self._pending if now - at_s <= MAX_AGE_S]
        self._pending = []
        if not fresh or not self._peers:
            return
        peers = self._rng.sample(self._peers, min(FAN_OUT, len(self._peers)))
        for start in range(0, len(fresh), MAX_IN_DATAGRAM):
            data = encode(fresh[start : start + MAX_IN_DATAGRAM], self._token)
            for peer in peers:
                self._send(data, peer)

    def _send(self, data, peer):
        try:
            self._sock.sendto(data, peer)
            self.sent += 1
        except OSError as exc:
            # The entry may be gone or the link full; the next round tells anew.
            log.usual("not-sent", peer=peer[0], reason=str(exc))

    def _on_readable(self, _events):
        for _ in range(MAX_READ):
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                log.usual("not-received", reason=str(exc))
                return
            self._take(data, sender)

    def _take(self, data, sender):
        try:
            found = decode(data, self._token)
        except Unreadable as exc:
            self.unreadable += 1
            log.usual("unreadable", sender=sender[0], reason=str(exc))
            return
        self.received += 1
        for item in found:
            self._hear(item)
