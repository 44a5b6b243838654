"""A token bucket whose rate and burst can change."""

from citrondoor import clock


class TokenBucket:
    """Admits at most `burst + rate * t` requests in any interval of length t.

    Args:
      now: Clock time in ms. The bucket starts empty, because a previous process
        on the same VM may have used the burst just before.
    """

    __slots__ = ("_burst", "_level", "_rate_per_ms", "_refilled_at")

    def __init__(self, now: int):
        self._rate_per_ms = 0.0
        self._burst = 0.0
        self._level = 0.0
        self._refilled_at = now

    @property
    def level(self) -> float:
        """Tokens at the last refill."""
        return self._level

    @property
    def burst(self) -> float:
        """Maximum number of tokens in the bucket."""
        return self._burst

    def resize(self, rate_per_s: float, burst: float, now: int) -> None:
        """Sets rate and burst; tokens above the new burst are lost."""
        self._refill(now)
        self._rate_per_ms = rate_per_s / clock.MS_PER_S
        self._burst = burst
        self._level = min(self._level, burst)

    def try_acquire(self, now: int) -> bool:
        """Removes one token; returns False if less than one is left."""
        self._refill(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def remove(self, tokens: float, now: int) -> float:
        """Removes up to `tokens` for a transfer; returns the removed number."""
        self._refill(now)
        removed = min(tokens, self._level)
        self._level -= removed
        return removed

    def add(self, tokens: float, now: int) -> None:
        """Adds transferred tokens, up to the burst."""
        self._refill(now)
        self._level = min(self._burst, self._level + tokens)

    def wait_ms(self, now: int) -> int | None:
        """Returns the time in ms until one token is available.

        Returns:
          0 if a token is available; None if the rate or burst never yields one.
        """
        self._refill(now)
        if self._level >= 1:
            return 0
        if self._burst < 1 or self._rate_per_ms <= 0:
            return None
        return int((1 - self._level) / self._rate_per_ms) + 1

    def _refill(self, now: int) -> None:
        elapsed = now - self._refilled_at
        if elapsed <= 0:
            return
        self._refilled_at = now
        refilled = self._level + elapsed * self._rate_per_ms
        self._level = min(self._burst, refilled)
