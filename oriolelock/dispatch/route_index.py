"""
oriolelock.dispatch.route_index
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Matches a request to a route: by host, then by the longest path prefix.
"""

from oriolelock.model import route, route_table

__all__ = ["RouteIndex"]


class RouteIndex:
    """Immutable index of one route table."""

    def __init__(self, table: route_table.RouteTable):
        self._hosts: dict[str, dict[str, route.Route]] = {}
        for table_route in table.routes.values():
            self._hosts.setdefault(table_route.host.lower(), {})[table_route.prefix] = table_route

    def find(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix of ``path``, or None.

        ``host``: host of the request, with or without a port.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            prefixes = self._hosts.get(host.lower().partition(":")[0])
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            # Prefixes are stored with or without a trailing slash.
            for length in (end, path.rfind("/", 0, end) + 1):
                match = prefixes.get(path[:length])
                if match is not None:
                    return match
            end = path.rfind("/", 0, end)
        return prefixes.get("/")
