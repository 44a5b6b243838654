"""How much of a caller's time is gone when its request arrives.

Answers callers that look addresses up, connect, or try again first: the latency
target counts from their first attempt, and an answer that leaves at the target
counted from the arrival would reach them late. Callers tell how long they still
wait; on one route, what is missing from the longest wait is spent.
"""

# Waits are compared with the longest one of this time and the time before it,
# in ms: long enough for every caller to come by, and a changed wait is noticed.
EPOCH_MS = 30_000
# A wait that is shorter than the longest one by more than this share of the
# latency target belongs to another kind of caller or to a late attempt.
MOST_SPENT_SHARE = 0.6
# With less than this share of the latency target left, hardly any searcher
# answers in time, and the answer may as well wait for more shards.
LEAST_LEFT_SHARE = 0.2


class _Longest:
    __slots__ = ("before", "epoch", "now")

    def __init__(self, epoch: int):
        self.epoch = epoch
        self.now = 0
        self.before = 0


class ElapsedTimeEstimator:
    """Longest waits of callers, by route."""

    __slots__ = ("_routes",)

    def __init__(self):
        self._routes: dict[str, _Longest] = {}

    def estimate_elapsed_ms(
        self, key: str, wait_ms: int | None, target_ms: int, now: int
    ) -> int:
        """Returns the time that a caller has spent, and notes its wait.

        Args:
          key: The route.
          wait_ms: How long the caller still waits; None when it does not say.
          target_ms: Latency target of the route.
          now: Clock reading.
        """
        if wait_ms is None:
            return 0
        epoch = now // EPOCH_MS
        longest = self._routes.setdefault(key, _Longest(epoch))
        if longest.epoch != epoch:
            is_next = longest.epoch + 1 == epoch
            longest.before = longest.now if is_next else 0
            longest.now = 0
            longest.epoch = epoch
        longest.now = max(longest.now, wait_ms)
        spent = max(longest.now, longest.before) - wait_ms
        return spent if spent <= MOST_SPENT_SHARE * target_ms else 0


def remaining_target_ms(target_ms: int, elapsed_ms: int, reply_ms: int) -> int:
    """Returns how long after its arrival a request should be answered, in ms.

    Args:
      target_ms: Latency target of the route, from the caller's first attempt.
      elapsed_ms: Part of it that is gone.
      reply_ms: Time that the answer takes to reach the caller.
    """
    left_ms = target_ms - elapsed_ms - reply_ms
    if left_ms < LEAST_LEFT_SHARE * target_ms:
        return target_ms
    return left_ms
