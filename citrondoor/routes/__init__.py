"""Finds a request's route by host and longest prefix, and its back ends."""

from citrondoor.routes._current import CurrentRoutes
from citrondoor.routes._table import RouteTable
from citrondoor.routes._table import estimate_bytes
from citrondoor.routes._targets import ResolvedRoute
from citrondoor.routes._targets import ScatterTarget
from citrondoor.routes._targets import WeightedTarget
from citrondoor.routes._targets import choose_backends

__all__ = [
    "CurrentRoutes",
    "ResolvedRoute",
    "RouteTable",
    "ScatterTarget",
    "WeightedTarget",
    "choose_backends",
    "estimate_bytes",
]
