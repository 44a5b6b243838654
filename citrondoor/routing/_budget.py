"""Bounds the extra sub-requests that hedges and retries may add."""

# Extra sub-requests that may be saved up while nothing goes wrong.
HEDGE_BURST = 10.0
RETRY_BURST = 40.0
# All extra sub-requests of a fault, hedges included, as a share of the rest.
RETRY_SHARE = 0.05


class HedgeRetryBudget:
    """Earns a share of an extra sub-request with each ordinary one.

    Args:
      hedge_share: Hedges allowed for each ordinary sub-request.
    """

    __slots__ = ("_hedge_share", "_hedges", "_retries")

    def __init__(self, hedge_share: float):
        self._hedge_share = hedge_share
        self._hedges = HEDGE_BURST
        self._retries = RETRY_BURST

    def earn(self, sent: int) -> None:
        """Adds the shares of `sent` ordinary sub-requests."""
        self._hedges = min(HEDGE_BURST, self._hedges + sent * self._hedge_share)
        self._retries = min(RETRY_BURST, self._retries + sent * RETRY_SHARE)

    def take_hedge(self) -> bool:
        """Spends one hedge; returns False when none is left."""
        if self._hedges < 1 or self._retries < 1:
            return False
        self._hedges -= 1
        self._retries -= 1
        return True

    def take_retry(self) -> bool:
        """Spends one retry; returns False when none is left."""
        if self._retries < 1:
            return False
        self._retries -= 1
        return True
