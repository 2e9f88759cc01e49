"""
oriolelock.control.list_news
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Datagrams on the instance list: tells entries which endpoints leave, without waiting for
    agreement or for the parents of the tree, and other replicas that the list was read.
"""

import collections.abc
import random
import socket
import threading

import cbor2

from oriolelock import events
from oriolelock.gateway import gossip, signing

__all__ = ["ListNews"]

# Not among the formats of ``gossip``, which entries exchange.
READING_FORMAT_VERSION = 7
MAX_DATAGRAM_BYTES = 1400
MAX_DIGESTS_PER_DATAGRAM = 50
# Entries that are told directly; they tell others.
MAX_RECIPIENTS = 64
RECEIVE_TIMEOUT_S = 0.5

Address = tuple[str, int]
log = events.Events("list-news")


class ListNews:
    """Sends and receives at ``address``; thread-safe.

    ``on_reading()`` is called from a thread when another replica has read the whole list.
    """

    def __init__(self, address: Address, token: str, on_reading: collections.abc.Callable):
        self._token = token
        self._on_reading = on_reading
        self._rng = random.Random()
        self._stopping = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(address)
        self._sock.settimeout(RECEIVE_TIMEOUT_S)
        self._thread = threading.Thread(target=self._run, name="list-news", daemon=True)

    def start(self) -> None:
        """Start receiving."""
        self._thread.start()

    def stop(self) -> None:
        """Close the socket once the thread has ended."""
        self._stopping = True

    def tell_leaving(
        self, digests: collections.abc.Sequence[int], entries: collections.abc.Sequence[Address]
    ) -> None:
        """Tell entries which endpoints leave; ``digests``: see ``peer_reports.endpoint_digest``."""
        recipients = self._rng.sample(entries, min(MAX_RECIPIENTS, len(entries)))
        for start in range(0, len(digests), MAX_DIGESTS_PER_DATAGRAM):
            part = digests[start : start + MAX_DIGESTS_PER_DATAGRAM]
            self._send(gossip.encode_listed(part, self._token), recipients)

    def tell_reading(self, replicas: collections.abc.Iterable[Address]) -> None:
        """Tell other replicas that this one has read the whole list."""
        self._send(signing.sign(cbor2.dumps(READING_FORMAT_VERSION), self._token), replicas)

    def _send(self, data, recipients):
        for address in recipients:
            try:
                self._sock.sendto(data, address)
            except OSError as exc:
                # The recipient may be gone; the next reading is told again.
                log.usual("not-sent", recipient=address[0], reason=str(exc))

    def _run(self):
        while not self._stopping:
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            except OSError as exc:
                log.usual("not-received", reason=str(exc))
                continue
            if self._is_reading(data):
                self._on_reading()
            else:
                log.usual("unreadable", sender=sender[0], size=len(data))
        self._sock.close()

    def _is_reading(self, data):
        payload = signing.verify(data, self._token)
        try:
            return payload is not None and cbor2.loads(payload) == READING_FORMAT_VERSION
        except (cbor2.CBORDecodeError, RecursionError):
            return False
