"""Chooses a searcher of a back end from what this daemon has observed.

Handles searchers that pause, are slow, fail, or are gone before the platform
reports so. A late request adds to the cost of its searcher until it ends. Slow
answers and failures add to moving averages, which return to normal with better
answers and with time. An unreachable searcher is blocked for a while, or until
a successful answer.
"""

import random

from citrondoor.schema import serving

# Weight of a new answer in the moving averages.
LATENCY_RATIO_WEIGHT = 0.3
FAILURE_WEIGHT = 0.15
# An average loses half of its distance to the normal value in this time, so
# that a searcher that was slow or failing is tried again.
HALF_LIFE_MS = 3000
# Cost of a failure, in medians of the route plus ms: the time until it is
# noticed and the retry is answered. It is weighted with the failure rate.
FAILURE_COST_FACTOR = 3.0
FAILURE_COST_MS = 20
# A searcher with a late request is expected to be paused for about this long.
LATE_COST_MS = 150
# Relative rise in latency from one more request at a searcher with one slot.
LOAD_FACTOR = 1.0
# A searcher that cannot be reached is blocked for this time, which doubles
# with each further block up to the maximum.
INITIAL_BLOCK_MS = 100
MAX_BLOCK_MS = 1000
# Late or broken off requests without a response, and without a success between
# them, after which a searcher is blocked.
NO_RESPONSE_LIMIT = 2
# Larger latency ratios count as this one, as they say no more than that the
# searcher is very slow. One answer thus raises the average by at most 9.
MAX_LATENCY_RATIO = 30.0


class ReplicaState:
    """What this daemon has observed of one incarnation of a searcher.

    Args:
      upstream: The searcher as it registered itself.
    """

    __slots__ = (
        "_block_count",
        "_decayed_at",
        "_failure_rate",
        "_in_flight",
        "_latency_ratio",
        "_no_response_count",
        "blocked_until",
        "paused_until",
        "upstream",
    )

    def __init__(self, upstream: serving.Upstream):
        self.upstream = upstream
        # Token to (clock reading of the send, clock reading at which it is
        # late), oldest first.
        self._in_flight: dict[int, tuple[int, float]] = {}
        # Moving average of latencies relative to the median of the route.
        self._latency_ratio = 1.0
        self._failure_rate = 0.0
        self._decayed_at = 0
        self._no_response_count = 0
        self._block_count = 0
        self.blocked_until = 0
        # Until when the searcher wants no request; a success does not end it.
        self.paused_until = 0

    @property
    def in_flight(self) -> int:
        """Number of this daemon's requests that have not ended."""
        return len(self._in_flight)

    def record_sent(self, token: int, late_after_ms: float, now: int) -> None:
        """Records that a request was sent."""
        self._in_flight[token] = (now, now + late_after_ms)

    def is_open(self, now: int) -> bool:
        """Returns whether the searcher is neither blocked nor paused."""
        return self.blocked_until <= now and self.paused_until <= now

    def pause(self, until: int) -> None:
        """Stops new requests, as the searcher wants none until then."""
        self.paused_until = max(self.paused_until, until)

    def record_turned_away(self, token: int) -> None:
        """Records the end of a request that the searcher turned away.

        It does not count as a failure: the searcher says when to come back.
        """
        self._in_flight.pop(token, None)

    def record_success(self, token: int, median_ms: float, now: int) -> float:
        """Records a successful answer; returns its latency in ms."""
        sent_at, _ = self._in_flight.pop(token)
        latency_ms = now - sent_at
        self._decay(now)
        ratio = min(MAX_LATENCY_RATIO, latency_ms / max(median_ms, 1.0))
        self._latency_ratio += LATENCY_RATIO_WEIGHT * (
            ratio - self._latency_ratio
        )
        self._failure_rate -= FAILURE_WEIGHT * self._failure_rate
        self._no_response_count = 0
        self._block_count = 0
        self.blocked_until = 0
        return latency_ms

    def record_failure(self, token: int, now: int) -> None:
        """Records that a request was rejected or failed."""
        self._in_flight.pop(token, None)
        self._decay(now)
        self._failure_rate += FAILURE_WEIGHT * (1.0 - self._failure_rate)

    def record_no_response(
        self, token: int, median_ms: float, now: int
    ) -> None:
        """Records that a request ended without a response.

        A request that was not late yet, such as a cancelled one, does not
        count against the searcher.
        """
        sent_at, late_at = self._in_flight.pop(token)
        if now < late_at:
            return
        self._decay(now)
        ratio = min(MAX_LATENCY_RATIO, (now - sent_at) / max(median_ms, 1.0))
        self._latency_ratio = max(
            self._latency_ratio,
            self._latency_ratio
            + LATENCY_RATIO_WEIGHT * (ratio - self._latency_ratio),
        )
        self._record_missing_response(now)

    def record_broken_off(self, token: int, now: int) -> None:
        """Records that the searcher closed the connection without a response.

        It counts however soon it came: a searcher that resets connections at
        once has the shortest queue, and would attract further requests.
        """
        self.record_failure(token, now)
        self._record_missing_response(now)

    def _record_missing_response(self, now: int) -> None:
        self._no_response_count += 1
        if self._no_response_count >= NO_RESPONSE_LIMIT:
            self.block(now)

    def block(self, now: int) -> None:
        """Stops new requests for a while, as the searcher is unreachable."""
        block_ms = min(MAX_BLOCK_MS, INITIAL_BLOCK_MS << self._block_count)
        # Limits the shift; from 4 on, the block lasts for the maximum time.
        self._block_count = min(self._block_count + 1, 8)
        self.blocked_until = now + block_ms

    def is_late(self, now: int) -> bool:
        """Returns whether any request in flight is late."""
        return any(late_at <= now for _, late_at in self._in_flight.values())

    def cost_ms(
        self, median_ms: float, now: int, loss_ms: float | None = None
    ) -> float:
        """Returns the expected time of one more request, in ms.

        Load from other daemons is seen only through the latencies; requests in
        flight are those of this daemon.

        Args:
          median_ms: Median latency on the route.
          now: Clock reading.
          loss_ms: Cost of a failure for a request that must not be repeated;
            None for others, where it is the time of a retry.
        """
        self._decay(now)
        load = len(self._in_flight) / max(1, self.upstream.capacity)
        cost = median_ms * self._latency_ratio * (1.0 + LOAD_FACTOR * load)
        failure_ms = FAILURE_COST_FACTOR * median_ms + FAILURE_COST_MS
        if loss_ms is not None:
            failure_ms = max(failure_ms, loss_ms)
        cost += self._failure_rate * failure_ms
        if self.is_late(now):
            cost += LATE_COST_MS + median_ms
        return cost

    def _decay(self, now: int) -> None:
        elapsed_ms = now - self._decayed_at
        if elapsed_ms <= 0:
            return
        self._decayed_at = now
        weight = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._latency_ratio = 1.0 + (self._latency_ratio - 1.0) * weight
        self._failure_rate *= weight


class ReplicaBalancer:
    """Chooses among searchers and keeps the state of each.

    Args:
      zone: Availability zone of this daemon.
      rng: Random number generator.
    """

    __slots__ = ("_replicas", "_rng", "_zone")

    def __init__(self, zone: str, rng: random.Random):
        self._zone = zone
        self._rng = rng
        self._replicas: dict[str, ReplicaState] = {}

    def get(self, upstream: serving.Upstream) -> ReplicaState:
        """Returns the state of a searcher, empty after it has restarted."""
        replica = self._replicas.get(upstream.id)
        if replica is None or replica.upstream.born_ms != upstream.born_ms:
            replica = self._replicas[upstream.id] = ReplicaState(upstream)
        elif replica.upstream is not upstream:
            replica.upstream = upstream
        return replica

    def retain_only(self, upstream_ids: set[str], now: int) -> None:
        """Drops all others that have no request in flight and no pause."""
        removed_ids = [
            upstream_id
            for upstream_id, replica in self._replicas.items()
            if upstream_id not in upstream_ids
            and not replica.in_flight
            and replica.paused_until <= now
        ]
        for upstream_id in removed_ids:
            del self._replicas[upstream_id]

    def choose(
        self,
        upstreams: list[serving.Upstream],
        excluded,
        median_ms: float,
        remote_cost_ms: float,
        now: int,
        loss_ms: float | None = None,
    ) -> ReplicaState | None:
        """Returns the searcher with the lowest expected time, or None.

        Args:
          upstreams: Searchers that may receive new requests.
          excluded: Ids that must not be chosen.
          median_ms: Median latency on the route.
          remote_cost_ms: Cost added to searchers of other zones, in ms.
          now: Clock reading.
          loss_ms: Cost of a failure for a request that must not be repeated,
            or None.
        """
        best: ReplicaState | None = None
        best_cost = float("inf")
        for upstream in upstreams:
            if upstream.id in excluded:
                continue
            replica = self.get(upstream)
            if not replica.is_open(now):
                continue
            cost = replica.cost_ms(median_ms, now, loss_ms)
            if upstream.zone != self._zone:
                cost += remote_cost_ms
            # Adds up to 1 ms at random, so that the daemons do not all choose
            # the same one of several nearly equal searchers.
            cost += self._rng.random()
            if cost < best_cost:
                best, best_cost = replica, cost
        return best
