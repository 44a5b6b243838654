"""Bounds this daemon's work at one searcher, and orders what waits.

The limit adapts: it grows while answers come at the latency of an idle
searcher and shrinks when they queue up or are shed. Waiting calls are ordered
by customer in turn and by deadline within a customer; a call whose deadline
has passed is never started.
"""

import enum
import heapq
import itertools

from citrondoor.schema import messages

# An answer this many times slower than the best is taken as queueing.
QUEUEING_FACTOR = 3.0
SHRINK_FACTOR = 0.7
MIN_LIMIT = 1.0
# The best latency is forgotten slowly, so that it follows a slower searcher.
BEST_GROWTH = 1.002
# Latency differences below this are noise of the network, not queueing.
NOISE_MS = 5.0
# No new work for this long after a shed; doubles up to the longest pause.
SHED_PAUSE_MS = 20
MAX_SHED_PAUSE_MS = 1280

_Outcome = messages.SubOutcome


class OfferResult(enum.IntEnum):
    """What became of an offered call."""

    START = 1
    QUEUED = 2
    SHED = 3


class _Waiting:
    __slots__ = ("call", "deadline_at")

    def __init__(self, call, deadline_at: int):
        self.call = call
        self.deadline_at = deadline_at


class ConcurrencyLimiter:
    """Admits calls to one searcher.

    Args:
      capacity: Most calls that this daemon may have there at once.
      start_limit: Limit to begin with.
      max_queue: Most calls that wait.
    """

    __slots__ = (
        "_best_ms",
        "_capacity",
        "_in_flight",
        "_limit",
        "_max_queue",
        "_numbers",
        "_pause_ms",
        "_paused_until",
        "_queue",
        "_tags",
        "_virtual_time",
        "_waiting",
    )

    def __init__(self, capacity: int, start_limit: float, max_queue: int):
        self._capacity = capacity
        self._limit = min(float(capacity), max(MIN_LIMIT, start_limit))
        self._max_queue = max_queue
        self._in_flight = 0
        self._best_ms: float | None = None
        self._pause_ms = SHED_PAUSE_MS
        self._paused_until = 0
        self._numbers = itertools.count()
        self._queue: list[tuple] = []
        self._waiting: dict[int, _Waiting] = {}
        self._tags: dict[str, float] = {}
        self._virtual_time = 0.0

    @property
    def limit(self) -> float:
        """Calls that may be in flight now."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Calls that were started and have not ended."""
        return self._in_flight

    @property
    def has_queued(self) -> bool:
        """Whether calls wait."""
        return bool(self._waiting)

    @property
    def load(self) -> int:
        """Calls in flight and waiting."""
        return self._in_flight + len(self._waiting)

    @property
    def paused_until(self) -> int:
        """Clock reading until which a shed keeps new work away."""
        return self._paused_until

    def set_capacity(self, capacity: int) -> None:
        """Sets the most calls at once; what is in flight goes on."""
        self._capacity = capacity
        self._limit = max(MIN_LIMIT, min(self._limit, float(capacity)))

    def is_paused(self, now: int) -> bool:
        """Returns whether a shed keeps new work away now."""
        return now < self._paused_until

    def offer(
        self, number: int, call, customer: str, deadline_at: int, max_calls: int
    ) -> OfferResult:
        """Starts a call, or lets it wait, or sheds it.

        Args:
          number: Number of the call, for `remove_queued`.
          call: What `start_next` returns later.
          customer: Customer whose turn it takes.
          deadline_at: Clock reading after which it is dropped.
          max_calls: Calls that the warmth of the searcher allows.
        """
        if not self._waiting and self._has_room(max_calls):
            self._in_flight += 1
            return OfferResult.START
        if len(self._waiting) >= self._max_queue:
            return OfferResult.SHED
        self._waiting[number] = _Waiting(call, deadline_at)
        tag = max(self._virtual_time, self._tags.get(customer, 0.0)) + 1
        self._tags[customer] = tag
        heapq.heappush(
            self._queue, (tag, deadline_at, next(self._numbers), number)
        )
        return OfferResult.QUEUED

    def start_next(self, now: int, max_calls: int):
        """Starts the next waiting call and returns it, or None."""
        if not self._waiting or not self._has_room(max_calls):
            return None
        while self._queue:
            tag, deadline_at, _, number = heapq.heappop(self._queue)
            self._virtual_time = max(self._virtual_time, tag)
            waiting = self._waiting.pop(number, None)
            if waiting is None or deadline_at <= now:
                continue
            self._in_flight += 1
            return waiting.call
        self._tags.clear()
        return None

    def remove_queued(self, number: int):
        """Takes a waiting call back and returns it, or None."""
        waiting = self._waiting.pop(number, None)
        return waiting.call if waiting else None

    def remove_expired(self, now: int) -> list:
        """Takes out the waiting calls whose deadline has passed."""
        late = [n for n, w in self._waiting.items() if w.deadline_at <= now]
        return [self._waiting.pop(number).call for number in late]

    def remove_all(self) -> list:
        """Takes out every waiting call."""
        calls = [waiting.call for waiting in self._waiting.values()]
        self._waiting.clear()
        return calls

    def finish(
        self, outcome: messages.SubOutcome, latency_ms: float, now: int
    ) -> None:
        """Notes that a started call has ended."""
        self._in_flight -= 1
        if outcome == _Outcome.ANSWERED:
            self._on_answered(latency_ms)
        elif outcome == _Outcome.SHED:
            self._on_shed(now)
        elif outcome == _Outcome.FAILED:
            self._shrink()

    def _has_room(self, max_calls: int) -> bool:
        return self._in_flight < min(int(self._limit), max_calls)

    def _on_answered(self, latency_ms: float) -> None:
        self._pause_ms = SHED_PAUSE_MS
        best = self._best_ms
        if best is None or latency_ms < best:
            self._best_ms = latency_ms
        else:
            self._best_ms = best * BEST_GROWTH
        if latency_ms > self._best_ms * QUEUEING_FACTOR + NOISE_MS:
            self._shrink()
        elif self._in_flight + 1 >= int(self._limit):
            # Grow only when the limit is what holds work back.
            self._limit = min(
                float(self._capacity), self._limit + 1 / self._limit
            )

    def _on_shed(self, now: int) -> None:
        self._shrink()
        self._paused_until = now + self._pause_ms
        self._pause_ms = min(MAX_SHED_PAUSE_MS, self._pause_ms * 2)

    def _shrink(self) -> None:
        self._limit = max(MIN_LIMIT, self._limit * SHRINK_FACTOR)
