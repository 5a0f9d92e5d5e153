"""Lookup of routes by host and path."""

from collections.abc import Iterable

from papayatack.core.inventory import HostRoute

__all__ = ["RouteTable"]


class _HostTable:
    """The routes of one host by their prefix."""

    def __init__(self) -> None:
        self.routes: dict[str, HostRoute] = {}
        self.lengths: tuple[int, ...] = ()

    def sort(self) -> None:
        """Determine the distinct lengths of the prefixes, longest first."""
        self.lengths = tuple(sorted(set(map(len, self.routes)), reverse=True))


class RouteTable:
    """Finds the route with the longest matching prefix.

    The time that a lookup takes grows with the number of distinct lengths of a host's
    prefixes, not with the number of its routes.

    Args:
        routes: The routes; of two with the same host and prefix, the first applies.
    """

    def __init__(self, *, routes: Iterable[HostRoute]) -> None:
        self._hosts: dict[str, _HostTable] = {}
        for route in routes:
            host = self._hosts.setdefault(route.host, _HostTable())
            host.routes.setdefault(route.prefix, route)
        for host in self._hosts.values():
            host.sort()

    def find(self, host: str, path: str) -> HostRoute | None:
        """Return the route for a host in lower case and a path, if there is one."""
        table = self._hosts.get(host)
        if table is None:
            return None
        for length in table.lengths:
            route = table.routes.get(path[:length])
            if route is not None and len(path) >= length:
                return route
        return None
