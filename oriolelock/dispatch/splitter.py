"""
oriolelock.dispatch.splitter
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Divides a route's requests among its services by weight: smooth weighted round robin.
"""

import random

from oriolelock.model import route

__all__ = ["Splitter"]


class Splitter:
    """Keeps each part within one request of its share.

    The initial credits are random; otherwise all entries would start with the same part.
    """

    def __init__(self, parts: tuple[route.Part, ...], rng: random.Random):
        self.parts = parts
        self._total = sum(part.weight for part in parts)
        self._credit = [part.weight * rng.random() for part in parts]

    def next_service(self) -> str:
        """Select the service of the next request."""
        if len(self.parts) == 1:
            return self.parts[0].service
        best = 0
        for index, part in enumerate(self.parts):
            self._credit[index] += part.weight
            if self._credit[index] > self._credit[best] and part.weight > 0:
                best = index
        if self.parts[best].weight <= 0:
            best = max(range(len(self.parts)), key=lambda index: self.parts[index].weight)
        self._credit[best] -= self._total
        return self.parts[best].service
