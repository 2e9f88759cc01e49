"""
oriolelock.dispatch.rankings
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    The endpoints of a service in their order of preference for an object, in each region.
"""

import collections.abc

from oriolelock.dispatch import endpoint_view, ranking

__all__ = ["LAST_RANK", "Rankings"]

# Ranks from this one on are not told apart. Keeping only those before it bounds the memory of an
# entry, which does not grow with the number of endpoints.
LAST_RANK = 8
MAX_OBJECTS = 512


class Rankings:
    """Cached ranks of objects; ``clear`` after each change of the endpoints. Not thread-safe."""

    def __init__(self) -> None:
        # By service and affinity key: the rank of each of the first endpoints by name.
        self._ranks: dict[tuple[str, str], dict[str, int]] = {}

    def clear(self) -> None:
        """Forget all ranks."""
        self._ranks.clear()

    def ranks(
        self,
        service: str,
        key: str,
        views: collections.abc.Iterable[endpoint_view.EndpointView],
    ) -> collections.abc.Mapping[str, int]:
        """Return the ranks below ``LAST_RANK`` by endpoint; 0 is preferred in its region.

        ``views``: all endpoints of the service.
        """
        found = self._ranks.get((service, key))
        if found is None:
            if len(self._ranks) >= MAX_OBJECTS:
                self._ranks.clear()
            found = self._ranks[(service, key)] = _rank(key, views)
        return found


def _rank(key, views):
    by_region: dict[str, list[str]] = {}
    for view in views:
        by_region.setdefault(view.endpoint.region, []).append(view.endpoint.name)
    return {
        name: rank
        for names in by_region.values()
        for rank, name in enumerate(ranking.order(key, names)[:LAST_RANK])
    }
