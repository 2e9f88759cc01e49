"""
oriolelock.control.peer_links
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Links to the other replicas, created on first use.
"""

import collections.abc
import threading

from oriolelock import clock
from oriolelock.control import peer_link
from oriolelock.settings import control as settings

__all__ = ["UNUSED_LIMIT_S", "PeerLinks"]

# Several heartbeat intervals, so that a link that the consensus protocol uses is never dropped.
UNUSED_LIMIT_S = 5.0


class PeerLinks:
    """The links by replica name. Thread-safe.

    In a deployment with seeds, peers aren't listed in the settings and a replica's name is its link
    address.
    """

    def __init__(self, cfg: settings.ControlSettings, make_hello: collections.abc.Callable):
        self._own_name = cfg.name
        self._make_hello = make_hello
        self._accepts_unlisted = bool(cfg.seeds)
        self._lock = threading.Lock()
        self._started = False
        self._used_s: dict[str, float] = {}
        self._links = {peer.name: peer_link.PeerLink(peer, make_hello) for peer in cfg.others()}
        for host, port in cfg.seeds:
            self._get_or_create(f"{host}:{port}")

    def start(self) -> None:
        """Start connecting to all known replicas."""
        with self._lock:
            self._started = True
            links = list(self._links.values())
        for link in links:
            link.start()

    def stop(self) -> None:
        """Close all links."""
        for link in self.all().values():
            link.stop()

    def all(self) -> dict[str, peer_link.PeerLink]:
        """Return the links by replica name."""
        with self._lock:
            return dict(self._links)

    def accepts(self, name: str) -> bool:
        """Return whether messages from a replica are accepted."""
        return self._accepts_unlisted or name in self._links

    def send(self, name: str, msg: object) -> bool:
        """Send a message; returns False if it was dropped."""
        link = self._get_or_create(name)
        return link is not None and link.send(msg)

    def connect(self, names: collections.abc.Iterable[str]) -> None:
        """Create the links to these replicas that don't exist yet, except to this replica."""
        for name in names:
            self._get_or_create(name)

    def _get_or_create(self, name):
        with self._lock:
            self._used_s[name] = clock.monotonic_s()
            link = self._links.get(name)
            if link is not None or not self._accepts_unlisted or name == self._own_name:
                return link
            host, colon, port = name.partition(":")
            if not colon or not port.isdigit():
                return None
            address = (host, int(port))
            link = peer_link.PeerLink(
                settings.PeerSettings(name, address, address, ""), self._make_hello
            )
            self._links[name] = link
            if self._started:
                link.start()
            return link

    def drop_unused(self, kept: collections.abc.Collection[str], now: float) -> None:
        """Close links to replicas that are not in ``kept`` and were not sent to recently.

        Does nothing without seeds. ``now`` is of the monotonic clock.
        """
        if not self._accepts_unlisted:
            return
        with self._lock:
            self._used_s = {n: t for n, t in self._used_s.items() if now - t < UNUSED_LIMIT_S}
            stale = [n for n in self._links if n not in kept and n not in self._used_s]
            closed = [self._links.pop(name) for name in stale]
        for link in closed:
            link.stop()
