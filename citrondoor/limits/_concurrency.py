"""Limits this daemon's calls in flight at one searcher and queues the rest.

The limit adapts. A latency above QUEUEING_LATENCY_FACTOR times the recent
minimum plus LATENCY_NOISE_MS shows that calls queue at the searcher: the answer
shrinks the limit. A faster answer grows it if the calls in flight had reached
it. A failed call or a rejection under overload shrinks it too. Queued calls
start by fair queueing: customers take turns, a customer's calls start in order
of arrival, and the deadline orders calls that share a turn. A queued call whose
deadline has passed is never started.
"""

import enum
import heapq
import itertools

from citrondoor.schema import messages

# An answer this many times slower than the minimum latency means that calls
# queue at the searcher.
QUEUEING_LATENCY_FACTOR = 3.0
LIMIT_SHRINK_FACTOR = 0.7
MIN_LIMIT = 1.0
# Growth of the minimum latency with each slower answer, so that it follows a
# searcher that has become slower.
MIN_LATENCY_GROWTH_FACTOR = 1.002
# Latency differences below this are network noise, not queueing.
LATENCY_NOISE_MS = 5.0
# After the searcher rejects a call, it should not be chosen for this long. The
# limiter only reports the pause as `paused_until`: queued calls still start.
# The pause doubles with each further rejection, up to the maximum, and an
# answer resets its length.
MIN_REJECTION_PAUSE_MS = 20
MAX_REJECTION_PAUSE_MS = 1280

_Outcome = messages.SubOutcome


class OfferResult(enum.IntEnum):
    """Result of offering a call to the limiter.

    SHED means that the queue is full and the call is rejected.
    """

    START = 1
    QUEUED = 2
    SHED = 3


class _QueuedCall:
    __slots__ = ("call", "deadline_at")

    def __init__(self, call, deadline_at: int):
        self.call = call
        self.deadline_at = deadline_at


class ConcurrencyLimiter:
    """Adaptive concurrency limiter for the calls to one searcher.

    Args:
      capacity: Maximum number of this daemon's calls in flight there.
      initial_limit: Concurrency limit before the first answer.
      max_queue: Maximum number of queued calls.
    """

    __slots__ = (
        "_capacity",
        "_in_flight",
        "_last_turns",
        "_limit",
        "_max_queue",
        "_min_latency_ms",
        "_pause_ms",
        "_paused_until",
        "_queued_calls",
        "_sequence",
        "_turn_heap",
        "_virtual_time",
    )

    def __init__(self, capacity: int, initial_limit: float, max_queue: int):
        self._capacity = capacity
        self._limit = min(float(capacity), max(MIN_LIMIT, initial_limit))
        self._max_queue = max_queue
        self._in_flight = 0
        self._min_latency_ms: float | None = None
        self._pause_ms = MIN_REJECTION_PAUSE_MS
        self._paused_until = 0
        self._sequence = itertools.count()
        # Heap of (turn, deadline_at, sequence, number). The turn is the virtual
        # time at which fair queueing starts the call: one after the turn of the
        # customer's last queued call, or one after the current virtual time if
        # that is later. The entry of a removed call stays until it is popped.
        self._turn_heap: list[tuple] = []
        self._queued_calls: dict[int, _QueuedCall] = {}
        self._last_turns: dict[str, float] = {}
        self._virtual_time = 0.0

    @property
    def limit(self) -> float:
        """Current concurrency limit, in calls; rounded down when applied."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Number of calls that were started and have not ended."""
        return self._in_flight

    @property
    def has_queued(self) -> bool:
        """Whether any call is queued."""
        return bool(self._queued_calls)

    @property
    def load(self) -> int:
        """Number of calls in flight or queued."""
        return self._in_flight + len(self._queued_calls)

    @property
    def paused_until(self) -> int:
        """Clock time in ms until which the searcher should not be chosen.

        Set when it rejects a call. `offer` and `start_next` don't check it.
        """
        return self._paused_until

    def set_capacity(self, capacity: int) -> None:
        """Sets the maximum concurrency; calls in flight continue."""
        self._capacity = capacity
        self._limit = max(MIN_LIMIT, min(self._limit, float(capacity)))

    def is_paused(self, now: int) -> bool:
        """Returns whether `paused_until` has not been reached."""
        return now < self._paused_until

    def offer(
        self, number: int, call, customer: str, deadline_at: int, max_calls: int
    ) -> OfferResult:
        """Starts a call, queues it, or rejects it when the queue is full.

        Args:
          number: Identifies the call for `remove_queued`.
          call: Object that `start_next` returns once the call may start.
          customer: Customer for fair queueing.
          deadline_at: Clock time in ms from which a queued call isn't started
            any more; not checked if the call starts at once.
          max_calls: Maximum number of this daemon's calls in flight that the
            searcher's warm-up allows.
        """
        if not self._queued_calls and self._has_room(max_calls):
            self._in_flight += 1
            return OfferResult.START
        if len(self._queued_calls) >= self._max_queue:
            return OfferResult.SHED
        self._queued_calls[number] = _QueuedCall(call, deadline_at)
        turn = max(self._virtual_time, self._last_turns.get(customer, 0.0)) + 1
        self._last_turns[customer] = turn
        heapq.heappush(
            self._turn_heap, (turn, deadline_at, next(self._sequence), number)
        )
        return OfferResult.QUEUED

    def start_next(self, now: int, max_calls: int):
        """Starts the next queued call and returns it; None if none may start.

        Skipped calls whose deadline has passed leave the queue, so
        `remove_expired` doesn't return them.
        """
        if not self._queued_calls or not self._has_room(max_calls):
            return None
        while self._turn_heap:
            turn, deadline_at, _, number = heapq.heappop(self._turn_heap)
            self._virtual_time = max(self._virtual_time, turn)
            queued = self._queued_calls.pop(number, None)
            if queued is None or deadline_at <= now:
                continue
            self._in_flight += 1
            return queued.call
        self._last_turns.clear()
        return None

    def remove_queued(self, number: int):
        """Removes and returns a queued call; None if it isn't queued."""
        queued = self._queued_calls.pop(number, None)
        return queued.call if queued else None

    def remove_expired(self, now: int) -> list:
        """Removes and returns the queued calls whose deadline has passed."""
        expired = [
            number
            for number, queued in self._queued_calls.items()
            if queued.deadline_at <= now
        ]
        return [self._queued_calls.pop(number).call for number in expired]

    def remove_all(self) -> list:
        """Removes and returns all queued calls."""
        calls = [queued.call for queued in self._queued_calls.values()]
        self._queued_calls.clear()
        return calls

    def finish(
        self, outcome: messages.SubOutcome, latency_ms: float, now: int
    ) -> None:
        """Records the end of a started call and adapts the limit.

        Args:
          outcome: How the call ended. ANSWERED grows or shrinks the limit
            depending on the latency, FAILED shrinks it, SHED shrinks it and
            sets `paused_until`, and other outcomes leave it.
          latency_ms: Time from start to end, in ms; used for ANSWERED only.
          now: Clock time in ms.
        """
        self._in_flight -= 1
        if outcome == _Outcome.ANSWERED:
            self._on_answered(latency_ms)
        elif outcome == _Outcome.SHED:
            self._on_rejected(now)
        elif outcome == _Outcome.FAILED:
            self._shrink()

    def _has_room(self, max_calls: int) -> bool:
        return self._in_flight < min(int(self._limit), max_calls)

    def _on_answered(self, latency_ms: float) -> None:
        self._pause_ms = MIN_REJECTION_PAUSE_MS
        minimum = self._min_latency_ms
        if minimum is None or latency_ms < minimum:
            self._min_latency_ms = latency_ms
        else:
            self._min_latency_ms = minimum * MIN_LATENCY_GROWTH_FACTOR
        if (
            latency_ms
            > self._min_latency_ms * QUEUEING_LATENCY_FACTOR + LATENCY_NOISE_MS
        ):
            self._shrink()
        elif self._in_flight + 1 >= int(self._limit):
            # Grow only when the limit itself restricts the calls in flight.
            self._limit = min(
                float(self._capacity), self._limit + 1 / self._limit
            )

    def _on_rejected(self, now: int) -> None:
        self._shrink()
        self._paused_until = now + self._pause_ms
        self._pause_ms = min(MAX_REJECTION_PAUSE_MS, self._pause_ms * 2)

    def _shrink(self) -> None:
        self._limit = max(MIN_LIMIT, self._limit * LIMIT_SHRINK_FACTOR)
