"""Bounds the extra sub-requests that hedges and retries add to a back end."""

# Hedges and retries that can accumulate while none are sent.
HEDGE_BURST = 10.0
RETRY_BURST = 40.0
# Retries and hedges together, per ordinary sub-request.
RETRY_SHARE = 0.05


class HedgeRetryBudget:
    """Token buckets for hedges and retries, filled by ordinary sub-requests.

    A hedge takes a token from both buckets, so that the retry bucket bounds
    all extra sub-requests.

    Args:
      hedge_share: Hedges allowed per ordinary sub-request.
    """

    __slots__ = ("_hedge_share", "_hedge_tokens", "_retry_tokens")

    def __init__(self, hedge_share: float):
        self._hedge_share = hedge_share
        self._hedge_tokens = HEDGE_BURST
        self._retry_tokens = RETRY_BURST

    def record_sub_requests(self, count: int) -> None:
        """Adds the tokens that `count` ordinary sub-requests earn."""
        self._hedge_tokens = min(
            HEDGE_BURST, self._hedge_tokens + count * self._hedge_share
        )
        self._retry_tokens = min(
            RETRY_BURST, self._retry_tokens + count * RETRY_SHARE
        )

    def try_acquire_hedge(self) -> bool:
        """Takes the tokens for one hedge; returns False if there are none."""
        if self._hedge_tokens < 1 or self._retry_tokens < 1:
            return False
        self._hedge_tokens -= 1
        self._retry_tokens -= 1
        return True

    def try_acquire_retry(self) -> bool:
        """Takes the token for one retry; returns False if there is none."""
        if self._retry_tokens < 1:
            return False
        self._retry_tokens -= 1
        return True
