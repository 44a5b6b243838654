"""Estimates how much time a caller has used before its request arrives.

Handles callers that resolve a name, connect or make a failed attempt first.
The latency target counts from their first attempt, so an answer sent at the
target counted from the arrival would reach them late. Each request says how
long its caller still waits. Compared with the longest wait seen on the route,
the difference is the time that has elapsed.
"""

# Waits are compared with the longest one of the current and the previous window
# of this length: long enough for every caller to send a request, and short
# enough to notice that callers have changed their timeout.
WINDOW_MS = 30_000
# A wait that is shorter than the longest one by more than this share of the
# latency target belongs to another kind of caller or to a late attempt.
MAX_ELAPSED_SHARE = 0.6
# With less than this share of the latency target remaining, hardly any searcher
# answers in time. The answer is then due the whole target after the arrival of
# the request, so that it contains more shards.
MIN_REMAINING_SHARE = 0.2


class _LongestWait:
    """Longest wait on one route in the current and the previous window."""

    __slots__ = ("current_ms", "previous_ms", "window")

    def __init__(self, window: int):
        self.window = window
        self.current_ms = 0
        self.previous_ms = 0


class ElapsedTimeEstimator:
    """Tracks the longest wait of callers on each route."""

    __slots__ = ("_routes",)

    def __init__(self):
        self._routes: dict[str, _LongestWait] = {}

    def retain_only(self, route_names: set[str]) -> None:
        """Discards the waits on all other routes."""
        for name in self._routes.keys() - route_names:
            del self._routes[name]

    def estimate_elapsed_ms(
        self, route_name: str, wait_ms: int | None, target_ms: int, now: int
    ) -> int:
        """Records a caller's wait and returns the time it has used, in ms.

        Args:
          route_name: Name of the route.
          wait_ms: How long the caller still waits; None if it does not say.
          target_ms: Latency target of the route.
          now: Clock reading.

        Returns:
          The estimate; 0 if the caller does not say how long it waits, or if
          the estimate is too large to be an elapsed time.
        """
        if wait_ms is None:
            return 0
        window = now // WINDOW_MS
        longest = self._routes.setdefault(route_name, _LongestWait(window))
        if longest.window != window:
            is_next = longest.window + 1 == window
            longest.previous_ms = longest.current_ms if is_next else 0
            longest.current_ms = 0
            longest.window = window
        longest.current_ms = max(longest.current_ms, wait_ms)
        elapsed_ms = max(longest.current_ms, longest.previous_ms) - wait_ms
        return elapsed_ms if elapsed_ms <= MAX_ELAPSED_SHARE * target_ms else 0


def remaining_target_ms(target_ms: int, elapsed_ms: int, reply_ms: int) -> int:
    """Returns how long after its arrival a request should be answered, in ms.

    Args:
      target_ms: Latency target of the route, from the caller's first attempt.
      elapsed_ms: Time the caller has used before the request arrived.
      reply_ms: Time that the answer takes to reach the caller.

    Returns:
      The remaining part of the target, or the whole target if too little of it
      remains for searchers to answer.
    """
    remaining_ms = target_ms - elapsed_ms - reply_ms
    if remaining_ms < MIN_REMAINING_SHARE * target_ms:
        return target_ms
    return remaining_ms
