"""
oriolelock.bench.subscribers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Many uplinks in one process, as entries would hold them, without the rest of an entry.
"""

import random
import threading

from oriolelock import clock
from oriolelock.distribution import messages, uplink
from oriolelock.model import configuration
from oriolelock.wire import hello

__all__ = ["Subscribers"]


class Subscribers:
    """``count`` uplinks to ``parents``; notes when each has which version."""

    def __init__(
        self, count: int, parents: list[tuple[str, int]], cluster: str, token: str, seed: int = 1
    ):
        self._changed = threading.Condition()
        self._versions = [0] * count
        rng = random.Random(seed)
        self.links = [
            self._make(n, rng.sample(parents, len(parents)), cluster, token) for n in range(count)
        ]

    def _make(self, n, order, cluster, token):
        name = f"subscriber-{n}"
        greeting = hello.Hello(hello.PROTOCOL_VERSION, cluster, token, name, "entry", name)

        def report():
            cfg = self.links[n].configuration
            return messages.StatusReport(name, cfg.version, cfg.index, "live", 0.0, 0)

        def on_config(cfg: configuration.Configuration):
            with self._changed:
                self._versions[n] = cfg.version
                self._changed.notify_all()

        return uplink.Uplink(lambda cfg: order, greeting, report, on_config=on_config)

    def start(self) -> None:
        """Connect all."""
        for link in self.links:
            link.start()

    def stop(self) -> None:
        """Disconnect all."""
        threads = [threading.Thread(target=link.stop) for link in self.links]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def wait_version(self, version: int, timeout_s: float) -> float:
        """Wait until all have ``version`` or later; return when that was (monotonic).

        Raises TimeoutError.
        """
        with self._changed:
            if not self._changed.wait_for(lambda: min(self._versions) >= version, timeout_s):
                behind = sum(v < version for v in self._versions)
                raise TimeoutError(f"{behind} subscribers are behind version {version}")
            return clock.monotonic_s()

    def traffic(self) -> tuple[int, int]:
        """Return the bytes received and sent by all."""
        pairs = [link.traffic() for link in self.links]
        return sum(p[0] for p in pairs), sum(p[1] for p in pairs)
