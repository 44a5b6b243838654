"""Routes and searchers that tests of discovered upstreams share."""

from citrondoor.schema import serving

LIMITS = serving.CallerLimits(16384, 262144, 3000, 15000)
READY = serving.UpstreamState.READY
DRAINING = serving.UpstreamState.DRAINING


def route(prefix="/a/", **changes) -> serving.Route:
    values = {
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
    return serving.Route(**(values | changes))


def scatter_route(shards, prefix="/g/", **changes) -> serving.Route:
    values = {"backends": [], "shards": list(shards), "top": 3}
    return route(prefix, **(values | {"least_share": 0.75} | changes))


def route_set(version=1, routes=(), backends=()) -> serving.RouteSet:
    return serving.RouteSet(version, list(routes), list(backends), LIMITS)


def upstream(upstream_id="i-1", backend="store", **changes):
    values = {
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
    return serving.Upstream(**(values | changes))
