"""Finds the route of a request."""

from citrondoor.routes import _targets
from citrondoor.schema import serving


class RouteTable:
    """The routes of one version.

    Args:
      route_set: The version, whole.
    """

    __slots__ = ("_backends", "_hosts", "route_set", "shard_backends")

    def __init__(self, route_set: serving.RouteSet):
        self.route_set = route_set
        self._hosts: dict[str, dict[str, _targets.ResolvedRoute]] = {}
        self._backends = {b.name: b for b in route_set.backends}
        # Back ends of which queries need one searcher each.
        self.shard_backends = frozenset(
            shard for route in route_set.routes for shard in route.shards
        )
        for route in route_set.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = _targets.ResolvedRoute(
                route, route_set.version
            )

    @property
    def version(self) -> int:
        """Version of the configuration."""
        return self.route_set.version

    @property
    def backends(self) -> dict[str, serving.RouteBackend]:
        """Declared back ends by name."""
        return self._backends

    @property
    def routed_backends(self) -> set[str]:
        """Back ends that a request may go to."""
        found: set[str] = set()
        for route in self.route_set.routes:
            found.update(route.shards)
            found.update(b.backend for b in route.backends)
        return found

    def find(self, host: str, path: str) -> _targets.ResolvedRoute | None:
        """Returns the route with the longest prefix of a path, or None.

        Args:
          host: Host that the caller named, with or without a port.
          path: Path without the query.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = prefixes.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None
