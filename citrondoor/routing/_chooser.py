"""Chooses the searcher of a sub-request: power of two random choices."""

import random
from collections.abc import Callable

from citrondoor.routing import _latencies


class ReplicaChooser:
    """Chooses among the replicas of a group of shards of one back end.

    Draws two usable replicas at random and takes the one with the lower cost:
    its load times its expected latency.

    Args:
      latencies: Latencies that this daemon measured.
      load_of: Returns how many sub-requests of this daemon are in flight and
        queued at a searcher.
      is_usable: Returns whether a searcher may receive sub-requests at a clock
        reading.
      is_cold: Returns whether a searcher is warming up.
      rng: Random number generator.
    """

    __slots__ = (
        "_is_cold",
        "_is_usable",
        "_latencies",
        "_load_of",
        "_rng",
    )

    def __init__(
        self,
        latencies: _latencies.SearcherLatencies,
        load_of: Callable[[str], int],
        is_usable: Callable[[str, int], bool],
        is_cold: Callable[[str], bool],
        rng: random.Random,
    ):
        self._latencies = latencies
        self._load_of = load_of
        self._is_usable = is_usable
        self._is_cold = is_cold
        self._rng = rng

    @property
    def latencies(self) -> _latencies.SearcherLatencies:
        """Latencies that this daemon measured."""
        return self._latencies

    def choose(
        self, replicas: tuple[str, ...], excluded, now: int
    ) -> str | None:
        """Returns a replica, or None when no replica is usable.

        Args:
          replicas: Names of the searchers to choose from.
          excluded: Names among them that may not be chosen.
          now: Clock reading in ms.
        """
        usable = [
            name
            for name in replicas
            if name not in excluded and self._is_usable(name, now)
        ]
        if len(usable) <= 1:
            return usable[0] if usable else None
        if len(usable) > 2:
            usable = self._rng.sample(usable, 2)
        first, second = usable
        return first if self._is_better(first, second, now) else second

    def is_any_usable(self, replicas: tuple[str, ...], now: int) -> bool:
        """Returns whether at least one replica may receive sub-requests."""
        return any(self._is_usable(name, now) for name in replicas)

    def _is_better(self, first: str, second: str, now: int) -> bool:
        if self._is_cold(first) != self._is_cold(second):
            # A cold searcher answers slowly until it has served requests. A
            # comparison by latency would withhold the requests that its
            # warm-up lease allows, so the choice is random.
            return self._rng.random() < 0.5
        first_cost = self._cost_ms(first, now)
        second_cost = self._cost_ms(second, now)
        if first_cost == second_cost:
            return self._rng.random() < 0.5
        return first_cost < second_cost

    def _cost_ms(self, searcher: str, now: int) -> float:
        expected_ms = self._latencies.expected_ms(searcher, now)
        return (self._load_of(searcher) + 1) * expected_ms
