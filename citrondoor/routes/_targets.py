"""What a route leads to: one searcher, or one of each shard."""

import functools
import random

from citrondoor import errors
from citrondoor.schema import serving


class WeightedTarget:
    """One searcher of one back end, drawn by weight.

    Args:
      names: Back ends.
      weights: Their weights, of the same length.
    """

    __slots__ = ("names", "weights")

    def __init__(self, names: tuple[str, ...], weights: tuple[float, ...]):
        self.names = names
        self.weights = weights


class ScatterTarget:
    """One searcher of each shard; their records are merged.

    Args:
      shards: Back ends that are the shards.
      top: Records of the merged answer.
      least_share: Least share of shards in an answer, 0 to 1.
    """

    __slots__ = ("least_share", "shards", "top")

    def __init__(self, shards: tuple[str, ...], top: int, least_share: float):
        self.shards = shards
        self.top = top
        self.least_share = least_share


class ResolvedRoute:
    """A route of one version of the configuration.

    Args:
      route: The declared route.
      version: Version that named it.
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
        tuple(b.backend for b in route.backends),
        tuple(b.weight for b in route.backends),
    )


@functools.singledispatch
def choose_backends(target, rng: random.Random) -> tuple[str, ...]:
    """Returns the back ends of which one searcher each is asked.

    Args:
      target: What the route leads to.
      rng: Random source.

    Raises:
      errors.ParameterError: No implementation knows this kind of target.
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
