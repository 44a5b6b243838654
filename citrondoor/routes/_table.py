"""Looks up the route of a request by host and path."""

from citrondoor.routes import _targets
from citrondoor.schema import serving

# Estimated memory of a route, and of a back end or the name of one, besides
# their texts; a route table keeps the names once more.
_ROUTE_BYTES = 1536
_BACKEND_BYTES = 256


def estimate_bytes(route_set: serving.RouteSet) -> int:
    """Returns the memory that the table of a version takes, in bytes."""
    kept_bytes = sum(_BACKEND_BYTES + len(b.name) for b in route_set.backends)
    for route in route_set.routes:
        names = [*route.shards, *(b.backend for b in route.backends)]
        kept_bytes += (
            _ROUTE_BYTES
            + 2 * len(route.host)
            + len(route.name)
            + len(route.prefix)
            + sum(_BACKEND_BYTES + len(name) for name in names)
            + sum(_BACKEND_BYTES + len(r) for r in route.regions)
        )
    return kept_bytes


class RouteTable:
    """The routes of one version of the configuration, indexed by prefix.

    Args:
      route_set: All routes, back ends and limits of the version.

    Attributes:
      kept_bytes: Estimate of the memory that the table takes.
      route_set: As above.
      shard_backends: Back ends that are shards of some route.
    """

    __slots__ = (
        "_backends",
        "_routes_by_host",
        "kept_bytes",
        "route_set",
        "shard_backends",
    )

    def __init__(self, route_set: serving.RouteSet):
        self.route_set = route_set
        self.kept_bytes = estimate_bytes(route_set)
        self._routes_by_host: dict[str, dict[str, _targets.ResolvedRoute]] = {}
        self._backends = {
            backend.name: backend for backend in route_set.backends
        }
        # Back ends that are shards of a scatter route: its requests need one
        # searcher of each.
        self.shard_backends = frozenset(
            shard for route in route_set.routes for shard in route.shards
        )
        for route in route_set.routes:
            routes_by_prefix = self._routes_by_host.setdefault(
                route.host.lower(), {}
            )
            routes_by_prefix[route.prefix] = _targets.ResolvedRoute(
                route, route_set.version
            )

    @property
    def version(self) -> int:
        """Version of the route set."""
        return self.route_set.version

    @property
    def backends(self) -> dict[str, serving.RouteBackend]:
        """Declared back ends by name."""
        return self._backends

    @property
    def routed_backends(self) -> set[str]:
        """Names of the back ends that some route uses."""
        names: set[str] = set()
        for route in self.route_set.routes:
            names.update(route.shards)
            names.update(weighted.backend for weighted in route.backends)
        return names

    def find(self, host: str, path: str) -> _targets.ResolvedRoute | None:
        """Returns the route with the longest prefix of a path, or None.

        Only prefixes that end with a slash are found.

        Args:
          host: Host header of the request, with or without a port. Its case
            is ignored.
          path: Path without the query.
        """
        routes_by_prefix = self._routes_by_host.get(
            host.partition(":")[0].lower()
        )
        if routes_by_prefix is None:
            return None
        slash_index = path.rfind("/")
        while slash_index >= 0:
            route = routes_by_prefix.get(path[: slash_index + 1])
            if route is not None:
                return route
            slash_index = path.rfind("/", 0, slash_index)
        return None
