"""
oriolelock.dispatch.splitter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Divides a route's requests among its services by weight, evenly over time.
"""

import random

from oriolelock.model import route

__all__ = ["Splitter"]


class Splitter:
    """Smooth weighted round robin: each part stays within one request of its share.

    It starts at a random place, since otherwise all entries would begin with the same part.
    """

    def __init__(self, parts: tuple[route.Part, ...], rng: random.Random):
        self.parts = parts
        self._total = sum(part.weight for part in parts)
        self._credit = [part.weight * rng.random() for part in parts]

    def take(self) -> str:
        """Return the service of the next request."""
        if len(self.parts) == 1:
            return self.parts[0].service
        best = 0
        for at, part in enumerate(self.parts):
            self._credit[at] += part.weight
            if self._credit[at] > self._credit[best] and part.weight > 0:
                best = at
        if self.parts[best].weight <= 0:
            best = max(range(len(self.parts)), key=lambda at: self.parts[at].weight)
        self._credit[best] -= self._total
        return self.parts[best].service
