"""Targets of routes: one searcher, or one searcher of each shard."""

import functools
import random

from citrondoor import errors
from citrondoor.schema import serving


class WeightedTarget:
    """Back ends of which one, chosen at random by weight, gets a request.

    Args:
      names: Names of the back ends.
      weights: Their weights, in the same order.
    """

    __slots__ = ("names", "weights")

    def __init__(self, names: tuple[str, ...], weights: tuple[float, ...]):
        self.names = names
        self.weights = weights


class ScatterTarget:
    """Shards that all get a request; their top records are merged.

    Args:
      shards: Names of the back ends that hold one shard each.
      top: Maximum number of records in the merged answer.
      min_shard_share: Minimum share of shards that must answer, 0 to 1.
    """

    __slots__ = ("min_shard_share", "shards", "top")

    def __init__(
        self, shards: tuple[str, ...], top: int, min_shard_share: float
    ):
        self.shards = shards
        self.top = top
        self.min_shard_share = min_shard_share


class ResolvedRoute:
    """A route with its target.

    Args:
      route: The declared route.
      version: Version of the route set that it is from.
    """

    __slots__ = ("definition", "target", "version")

    def __init__(self, route: serving.Route, version: int):
        self.definition = route
        self.version = version
        self.target: WeightedTarget | ScatterTarget = _target_of(route)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.definition.kind == serving.RouteKind.IDEMPOTENT


def _target_of(route: serving.Route) -> WeightedTarget | ScatterTarget:
    if route.shards:
        return ScatterTarget(tuple(route.shards), route.top, route.least_share)
    return WeightedTarget(
        tuple(weighted.backend for weighted in route.backends),
        tuple(weighted.weight for weighted in route.backends),
    )


@functools.singledispatch
def choose_backends(target, rng: random.Random) -> tuple[str, ...]:
    """Returns the back ends whose searchers get a request, one of each.

    Args:
      target: Target of the route.
      rng: Random number generator.

    Raises:
      errors.ParameterError: The type of the target is not supported.
    """
    raise errors.ParameterError(
        "target", type(target).__name__, "use WeightedTarget or ScatterTarget"
    )


@choose_backends.register
def _(target: WeightedTarget, rng: random.Random) -> tuple[str, ...]:
    if len(target.names) == 1:
        return target.names
    return tuple(rng.choices(target.names, target.weights))


@choose_backends.register
def _(target: ScatterTarget, rng: random.Random) -> tuple[str, ...]:
    return target.shards
