"""
oriolelock.control.peer_links
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The links to the other replicas, made as they become known.
"""

import collections.abc
import threading

from oriolelock.control import peer_link
from oriolelock.settings import control as settings

__all__ = ["PeerLinks"]


class PeerLinks:
    """Thread-safe. Where peers aren't listed in the settings, a name is a link address."""

    def __init__(self, cfg: settings.ControlSettings, greet: collections.abc.Callable):
        self._own = cfg.name
        self._greet = greet
        self._is_open = bool(cfg.seeds)
        self._lock = threading.Lock()
        self._started = False
        self._links = {peer.name: peer_link.PeerLink(peer, greet) for peer in cfg.others()}
        for host, port in cfg.seeds:
            self._find(f"{host}:{port}")

    def start(self) -> None:
        """Start to connect."""
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
        """Return the links by the name of the replica."""
        with self._lock:
            return dict(self._links)

    def knows(self, name: str) -> bool:
        """Return whether messages of a replica are taken."""
        return self._is_open or name in self._links

    def send(self, name: str, msg: object) -> bool:
        """Send a message; returns False when it is dropped."""
        link = self._find(name)
        return link is not None and link.send(msg)

    def _find(self, name):
        with self._lock:
            link = self._links.get(name)
            if link is not None or not self._is_open or name == self._own:
                return link
            host, colon, port = name.partition(":")
            if not colon or not port.isdigit():
                return None
            address = (host, int(port))
            link = peer_link.PeerLink(
                settings.PeerSettings(name, address, address, ""), self._greet
            )
            self._links[name] = link
            if self._started:
                link.start()
            return link

    def retain(self, names: collections.abc.Collection[str]) -> None:
        """Close links to replicas that are not among ``names``."""
        if not self._is_open:
            return
        with self._lock:
            left = [name for name in self._links if name not in names]
            closed = [self._links.pop(name) for name in left]
        for link in closed:
            link.stop()
