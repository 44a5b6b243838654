"""Limits the hedges and retries that all daemons together send.

Handles load that amplifies itself: without a limit, each slow or failing
searcher would double the work of its siblings. In any time window, a back end
may get hedges and retries up to a share of its requests plus a fixed slack.
Each daemon uses that share of its own requests and an equal part of the slack.
"""

import collections

from citrondoor import clock as clocks
from citrondoor.schema import serving

# Part of the slack that is used: after a restart, a daemon does not know what
# it sent in the same window before.
SLACK_SHARE = 0.6
# Part of the ratio that is used. Requests are counted here when they arrive;
# the rest covers those that end only after the window of the limit.
RATIO_SHARE = 0.9
# Hedges earned by each request to a back end, while the route is saturated and
# while it is not.
HEDGE_SHARE = 0.03
UNSATURATED_HEDGE_SHARE = 0.05
# Part of a hedge that is refunded if it is answered first. If this is so for a
# share `w` of the hedges, the mean number per request is limited to the earned
# share / (1 - HEDGE_REFUND * w): 5% if all searchers are saturated and half of
# the hedges are answered first, 11% if a quarter is slow and two thirds are.
HEDGE_REFUND = 0.8
# Hedges that can be saved up: searchers that become slow are late all at once.
HEDGE_BURST = 30.0
# Slices of the window in which requests, hedges and retries are counted.
SLICES = 20


class _Window:
    """Sliding counts for one back end, in slices of the window."""

    __slots__ = (
        "extras",
        "requests",
        "slice_number",
        "total_extras",
        "total_requests",
    )

    def __init__(self):
        self.slice_number = 0
        self.requests: collections.deque[int] = collections.deque(
            [0] * SLICES, SLICES
        )
        # Hedges and retries. One more slice than for requests: those of a
        # slice that is only partly out of the window still count.
        self.extras: collections.deque[int] = collections.deque(
            [0] * (SLICES + 1), SLICES + 1
        )
        self.total_requests = 0
        self.total_extras = 0

    def advance_to(self, slice_number: int) -> None:
        for _ in range(min(slice_number - self.slice_number, SLICES + 1)):
            self.total_requests -= self.requests[0]
            self.requests.append(0)
            self.total_extras -= self.extras[0]
            self.extras.append(0)
        self.slice_number = max(self.slice_number, slice_number)


class HedgeRetryLimiter:
    """Limits hedges and retries of each back end, and all hedges together.

    Args:
      settings: Ratio, slack and window of the limit.
      member_count: Number of daemons that share the slack at the start.
    """

    __slots__ = (
        "_available_hedges",
        "_member_count",
        "_settings",
        "_slice_ms",
        "_windows",
        "denied_count",
        "granted_count",
    )

    def __init__(self, settings: serving.BoundSettings, member_count: int):
        self._settings = settings
        self._member_count = member_count
        self._slice_ms = max(
            1, int(settings.extra_window_s * clocks.MS_PER_S) // SLICES
        )
        self._windows: dict[str, _Window] = {}
        self._available_hedges = HEDGE_BURST
        self.denied_count = 0
        self.granted_count = 0

    def set_bounds(self, settings: serving.BoundSettings) -> None:
        """Sets ratio and slack; a new window length needs a restart."""
        self._settings = settings

    def set_member_count(self, count: int) -> None:
        """Sets the number of daemons that share the slack."""
        self._member_count = max(1, count)

    def retain_only(self, backends: set[str], now: int) -> None:
        """Discards the windows of all other back ends, once they are over."""
        oldest_slice = now // self._slice_ms - SLICES
        for backend in self._windows.keys() - backends:
            if self._windows[backend].slice_number < oldest_slice:
                del self._windows[backend]

    def record_request(
        self, backend: str, now: int, is_saturated: bool = True
    ) -> None:
        """Counts a caller's request to a back end.

        Args:
          backend: The back end.
          now: Clock reading.
          is_saturated: Whether the route is saturated, see `RouteLatencies`.
        """
        window = self._window(backend, now)
        window.requests[-1] += 1
        window.total_requests += 1
        self._add_hedges(
            HEDGE_SHARE if is_saturated else UNSATURATED_HEDGE_SHARE
        )

    def record_hedge_won(self) -> None:
        """Refunds part of a hedge, as it was answered before the late send."""
        self._add_hedges(HEDGE_REFUND)

    def _add_hedges(self, hedges: float) -> None:
        self._available_hedges = min(
            HEDGE_BURST, self._available_hedges + hedges
        )

    def available(self, backend: str, now: int) -> float:
        """Returns how many hedges and retries the back end may get now."""
        window = self._window(backend, now)
        settings = self._settings
        slack = settings.extra_slack * SLACK_SHARE / self._member_count
        earned = settings.extra_ratio * RATIO_SHARE * window.total_requests
        return slack + earned - window.total_extras

    def try_acquire(self, backend: str, now: int) -> bool:
        """Counts one hedge or retry; returns False if the limit is reached."""
        if self.available(backend, now) < 1:
            self.denied_count += 1
            return False
        window = self._windows[backend]
        self.granted_count += 1
        window.extras[-1] += 1
        window.total_extras += 1
        return True

    def try_acquire_hedge(self, backend: str, now: int) -> bool:
        """Counts one hedge; returns False if a limit is reached.

        In addition to the limit of the back end, hedges are limited to a small
        share of the sends to all back ends: if most searchers are late, the
        load is too high, and hedges would increase it.
        """
        if self._available_hedges < 1:
            self.denied_count += 1
            return False
        if not self.try_acquire(backend, now):
            return False
        self._available_hedges -= 1
        return True

    def _window(self, backend: str, now: int) -> _Window:
        window = self._windows.get(backend)
        slice_number = now // self._slice_ms
        if window is None:
            window = self._windows[backend] = _Window()
            window.slice_number = slice_number
        elif slice_number > window.slice_number:
            window.advance_to(slice_number)
        return window
