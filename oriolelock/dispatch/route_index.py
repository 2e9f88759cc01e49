"""
oriolelock.dispatch.route_index
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Finds the route of a request: by host, then by the longest prefix of the path.
"""

from oriolelock.model import route, route_table

__all__ = ["RouteIndex"]


class RouteIndex:
    """Built anew for each table."""

    def __init__(self, table: route_table.RouteTable):
        self._hosts: dict[str, dict[str, route.Route]] = {}
        for item in table.routes.values():
            self._hosts.setdefault(item.host.lower(), {})[item.prefix] = item

    def find(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix that begins ``path``, or None.

        ``host``: of the request, with or without a port.
        """
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            prefixes = self._hosts.get(host.lower().partition(":")[0])
        if prefixes is None:
            return None
        end = len(path)
        while end > 0:
            # A prefix may or may not end with a slash.
            for size in (end, path.rfind("/", 0, end) + 1):
                found = prefixes.get(path[:size])
                if found is not None:
                    return found
            end = path.rfind("/", 0, end)
        return prefixes.get("/")
