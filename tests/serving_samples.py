"""Sample routes and discovered upstreams, shared by several tests."""

from citrondoor import discovery
from citrondoor.schema import serving

LIMITS = serving.CallerLimits(16384, 262144, 3000, 15000)
READY = serving.UpstreamState.READY
DRAINING = serving.UpstreamState.DRAINING


def route(prefix="/a/", **changes) -> serving.Route:
    """Returns a route to one back end, with the given fields changed."""
    fields = {
        "name": f"route{prefix}",
        "host": "shop.example",
        "prefix": prefix,
        "kind": serving.RouteKind.IDEMPOTENT,
        "timeout_ms": 1000,
        "target_ms": 100,
        "max_attempts": 2,
        "priority": 1,
        "backends": [serving.WeightedBackend("store", 1.0)],
        "shards": [],
        "top": 0,
        "least_share": 1.0,
        "regions": [],
    }
    return serving.Route(**(fields | changes))


def scatter_route(shards, prefix="/g/", **changes) -> serving.Route:
    """Returns a route that merges the answers of shards."""
    fields = {"backends": [], "shards": list(shards), "top": 3}
    return route(prefix, **(fields | {"least_share": 0.75} | changes))


def route_set(version=1, routes=(), backends=()) -> serving.RouteSet:
    return serving.RouteSet(version, list(routes), list(backends), LIMITS)


def position(revision, era=0) -> discovery.Position:
    return discovery.Position(era, revision)


def upstream(upstream_id="i-1", backend="store", **changes):
    fields = {
        "id": upstream_id,
        "backend": backend,
        "host": "127.0.0.1",
        "port": 9000,
        "zone": "a",
        "capacity": 2,
        "state": READY,
        "warm_in_ms": 0,
        "born_ms": 1,
    }
    return serving.Upstream(**(fields | changes))
