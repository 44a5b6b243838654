"""Chooses a searcher of one back end by what this daemon saw itself.

Answers searchers that pause, are slow, fail or are gone before the platform
says so: new work goes to the sibling as soon as one is late, and comes back
with its first good answer.
"""

import random

from citrondoor.schema import serving

# Weight of a new answer in the moving averages.
RATIO_WEIGHT = 0.3
FAILING_WEIGHT = 0.15
# An average loses half of its distance to the usual in this time, so that a
# searcher that was slow or failing is tried again.
FORGET_MS = 3000
# A failure costs a retry: the time to notice it and the second answer.
FAILURE_COST_FACTOR = 3.0
FAILURE_COST_MS = 20
# A late searcher is taken to stand still for about this long.
SUSPECT_COST_MS = 150
# Load of one more request, where the searcher has one slot for it.
LOAD_FACTOR = 1.0
# A searcher that cannot be reached is tried again after this time, doubling.
FIRST_BLOCK_MS = 100
MAX_BLOCK_MS = 1000
# After this many answers in a row that never came, a searcher counts as gone.
SILENT_LIMIT = 2
# A ratio above this says no more about a searcher than that it is very slow.
MAX_RATIO = 30.0


class ReplicaState:
    """What was seen of one incarnation of a searcher.

    Args:
      upstream: The searcher as it registered itself.
    """

    __slots__ = (
        "_blocks",
        "_failing",
        "_in_flight",
        "_ratio",
        "_renewed_at",
        "_silent",
        "blocked_until",
        "upstream",
    )

    def __init__(self, upstream: serving.Upstream):
        self.upstream = upstream
        # Token to (start, age at which it is late), oldest first.
        self._in_flight: dict[int, tuple[int, float]] = {}
        self._ratio = 1.0
        self._failing = 0.0
        self._renewed_at = 0
        self._silent = 0
        self._blocks = 0
        self.blocked_until = 0

    @property
    def in_flight(self) -> int:
        """Requests of this daemon that it has now."""
        return len(self._in_flight)

    def record_sent(self, token: int, late_after_ms: float, now: int) -> None:
        """Notes a request that was sent."""
        self._in_flight[token] = (now, now + late_after_ms)

    def record_success(self, token: int, median_ms: float, now: int) -> float:
        """Notes a good answer; returns its latency in milliseconds."""
        started_at, _ = self._in_flight.pop(token)
        latency_ms = now - started_at
        self._age(now)
        seen = min(MAX_RATIO, latency_ms / max(median_ms, 1.0))
        self._ratio += RATIO_WEIGHT * (seen - self._ratio)
        self._failing -= FAILING_WEIGHT * self._failing
        self._silent = 0
        self._blocks = 0
        self.blocked_until = 0
        return latency_ms

    def record_failure(self, token: int, now: int) -> None:
        """Notes a request that was rejected or failed."""
        self._in_flight.pop(token, None)
        self._age(now)
        self._failing += FAILING_WEIGHT * (1.0 - self._failing)

    def record_no_response(
        self, token: int, median_ms: float, now: int
    ) -> None:
        """Notes a request that nobody waits for any more."""
        started_at, late_at = self._in_flight.pop(token)
        if now < late_at:
            return
        self._age(now)
        seen = min(MAX_RATIO, (now - started_at) / max(median_ms, 1.0))
        self._ratio = max(
            self._ratio, self._ratio + RATIO_WEIGHT * (seen - self._ratio)
        )
        self._silent += 1
        if self._silent >= SILENT_LIMIT:
            self.block(now)

    def block(self, now: int) -> None:
        """Keeps new work away for a while: it cannot be reached."""
        pause_ms = min(MAX_BLOCK_MS, FIRST_BLOCK_MS << self._blocks)
        self._blocks = min(self._blocks + 1, 8)
        self.blocked_until = now + pause_ms

    def is_late(self, now: int) -> bool:
        """Returns whether it holds a request for longer than usual."""
        return any(late_at <= now for _, late_at in self._in_flight.values())

    def cost_ms(self, median_ms: float, now: int) -> float:
        """Returns the expected time of one more request.

        The load of other daemons shows in the latencies, not in the requests
        that this one has there.

        Args:
          median_ms: Usual latency on the route.
          now: Clock reading.
        """
        self._age(now)
        load = len(self._in_flight) / max(1, self.upstream.capacity)
        cost = median_ms * self._ratio * (1.0 + LOAD_FACTOR * load)
        failure_ms = FAILURE_COST_FACTOR * median_ms + FAILURE_COST_MS
        cost += self._failing * failure_ms
        if self.is_late(now):
            cost += SUSPECT_COST_MS + median_ms
        return cost

    def _age(self, now: int) -> None:
        elapsed = now - self._renewed_at
        if elapsed <= 0:
            return
        self._renewed_at = now
        weight = 0.5 ** (elapsed / FORGET_MS)
        self._ratio = 1.0 + (self._ratio - 1.0) * weight
        self._failing *= weight


class ReplicaBalancer:
    """All searchers that were chosen from so far.

    Args:
      zone: Availability zone of this daemon.
      rng: Random source.
    """

    __slots__ = ("_replicas", "_rng", "_zone")

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._replicas: dict[str, ReplicaState] = {}

    def get(self, upstream: serving.Upstream) -> ReplicaState:
        """Returns what was seen of a searcher; a new start knows nothing."""
        found = self._replicas.get(upstream.id)
        if found is None or found.upstream.born_ms != upstream.born_ms:
            found = self._replicas[upstream.id] = ReplicaState(upstream)
        elif found.upstream is not upstream:
            found.upstream = upstream
        return found

    def retain_only(self, upstream_ids: set[str]) -> None:
        """Drops searchers that are gone and have no request left."""
        gone = [
            upstream_id
            for upstream_id, replica in self._replicas.items()
            if upstream_id not in upstream_ids and not replica.in_flight
        ]
        for upstream_id in gone:
            del self._replicas[upstream_id]

    def choose(
        self,
        upstreams: list[serving.Upstream],
        excluded,
        median_ms: float,
        remote_cost_ms: float,
        now: int,
    ) -> ReplicaState | None:
        """Returns the searcher with the lowest expected time, or None.

        Args:
          upstreams: Searchers that may receive new work.
          excluded: Ids that must not be chosen.
          median_ms: Usual latency on the route.
          remote_cost_ms: Time that a searcher of the own zone may take longer
            before one of another zone is preferred.
          now: Clock reading.
        """
        best: ReplicaState | None = None
        best_cost = float("inf")
        for upstream in upstreams:
            if upstream.id in excluded:
                continue
            replica = self.get(upstream)
            if replica.blocked_until > now:
                continue
            cost = replica.cost_ms(median_ms, now)
            if upstream.zone != self._zone:
                cost += remote_cost_ms
            # Daemons must not agree on one of equals: break ties at random.
            cost += self._rng.random()
            if cost < best_cost:
                best, best_cost = replica, cost
        return best
