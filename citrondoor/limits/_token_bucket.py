"""A token bucket whose rate and size can change."""

from citrondoor import clock


class TokenBucket:
    """Admits at most `burst + rate * time` in any time.

    Args:
      now: Reading of the clock, in milliseconds. The bucket starts empty: a
        predecessor on the same VM may have spent the burst just before.
    """

    __slots__ = ("_burst", "_level", "_rate_per_ms", "_renewed_at")

    def __init__(self, now: int):
        self._rate_per_ms = 0.0
        self._burst = 0.0
        self._level = 0.0
        self._renewed_at = now

    @property
    def level(self) -> float:
        """Tokens at the last reading."""
        return self._level

    @property
    def burst(self) -> float:
        """Most tokens that the bucket holds."""
        return self._burst

    def resize(self, rate_per_s: float, burst: float, now: int) -> None:
        """Sets rate and size; tokens over the size are lost."""
        self._renew(now)
        self._rate_per_ms = rate_per_s / clock.MS_PER_S
        self._burst = burst
        self._level = min(self._level, burst)

    def try_acquire(self, now: int) -> bool:
        """Takes one token; returns False when there is none."""
        self._renew(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def remove(self, tokens: float, now: int) -> float:
        """Takes up to `tokens` out for a transfer; returns how many."""
        self._renew(now)
        removed = min(tokens, self._level)
        self._level -= removed
        return removed

    def add(self, tokens: float, now: int) -> None:
        """Adds transferred tokens, up to the size."""
        self._renew(now)
        self._level = min(self._burst, self._level + tokens)

    def wait_ms(self, now: int) -> int | None:
        """Returns the time until a token is there, or None if never."""
        self._renew(now)
        if self._level >= 1:
            return 0
        if self._burst < 1 or self._rate_per_ms <= 0:
            return None
        return int((1 - self._level) / self._rate_per_ms) + 1

    def _renew(self, now: int) -> None:
        elapsed = now - self._renewed_at
        if elapsed <= 0:
            return
        self._renewed_at = now
        grown = self._level + elapsed * self._rate_per_ms
        self._level = min(self._burst, grown)
