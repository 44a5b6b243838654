"""Bounds the extra sends of all daemons together.

Answers load that rises by itself: without a bound, each slow or failing
searcher doubles the work of its siblings. A back end may get, in any window,
a share of its requests and a slack on top; each daemon spends the share of its
own requests and an equal part of the slack.
"""

import collections

from citrondoor import clock as clocks
from citrondoor.schema import serving

# Part of the slack that is spent: a daemon that starts again knows nothing of
# what its predecessor spent in the same window.
SLACK_SHARE = 0.6
# Part of the ratio that is spent; the rest covers requests that were counted
# here but end after the window of the bound.
RATIO_SHARE = 0.9
# Hedges earned by each request to a back end, where most searchers are busy and
# where only a few are late, and part of a hedge that is given back when it was
# answered first. Where all are busy, half of the hedges win, and 5% of all
# sends may be hedges; with a slow quarter, two thirds win, and 11% may be.
HEDGE_SHARE = 0.03
CALM_HEDGE_SHARE = 0.05
HEDGE_REFUND = 0.8
# Hedges that may be saved up: searchers that turn slow are late all at once.
HEDGE_BURST = 30.0
# Requests and extra sends are counted in slices of the window.
SLICES = 20


class _Window:
    __slots__ = (
        "extras",
        "requests",
        "slice",
        "total_extras",
        "total_requests",
    )

    def __init__(self):
        self.slice = 0
        self.requests: collections.deque[int] = collections.deque(
            [0] * SLICES, SLICES
        )
        # One slice more: extra sends of a partly elapsed slice still count.
        self.extras: collections.deque[int] = collections.deque(
            [0] * (SLICES + 1), SLICES + 1
        )
        self.total_requests = 0
        self.total_extras = 0

    def move_to(self, number: int) -> None:
        for _ in range(min(number - self.slice, SLICES + 1)):
            self.total_requests -= self.requests[0]
            self.requests.append(0)
            self.total_extras -= self.extras[0]
            self.extras.append(0)
        self.slice = max(self.slice, number)


class HedgeRetryBudgets:
    """Counts requests and extra sends for each back end.

    Args:
      settings: Ratio, slack and window of the bound.
      member_count: Daemons that share the slack, at the start.
    """

    __slots__ = (
        "_hedges",
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
        self._hedges = HEDGE_BURST
        self.denied_count = 0
        self.granted_count = 0

    def set_bounds(self, settings: serving.BoundSettings) -> None:
        """Takes another ratio and slack; the window needs a new start."""
        self._settings = settings

    def set_member_count(self, count: int) -> None:
        """Takes the number of daemons that share the slack."""
        self._member_count = max(1, count)

    def record_request(
        self, backend: str, now: int, is_saturated: bool = True
    ) -> None:
        """Counts a request of a caller for a back end.

        Args:
          backend: The back end.
          now: Clock reading.
          is_saturated: Whether most searchers of its route are.
        """
        window = self._window(backend, now)
        window.requests[-1] += 1
        window.total_requests += 1
        self._earn(HEDGE_SHARE if is_saturated else CALM_HEDGE_SHARE)

    def note_hedge_won(self) -> None:
        """Notes that a hedge was answered before the send that was late."""
        self._earn(HEDGE_REFUND)

    def _earn(self, hedges: float) -> None:
        self._hedges = min(HEDGE_BURST, self._hedges + hedges)

    def available(self, backend: str, now: int) -> float:
        """Returns how many extra sends are left now."""
        window = self._window(backend, now)
        settings = self._settings
        slack = settings.extra_slack * SLACK_SHARE / self._member_count
        earned = settings.extra_ratio * RATIO_SHARE * window.total_requests
        return slack + earned - window.total_extras

    def take(self, backend: str, now: int) -> bool:
        """Spends one extra send; returns False when none is left."""
        if self.available(backend, now) < 1:
            self.denied_count += 1
            return False
        window = self._windows[backend]
        self.granted_count += 1
        window.extras[-1] += 1
        window.total_extras += 1
        return True

    def take_hedge(self, backend: str, now: int) -> bool:
        """Spends one hedge; returns False when none is left.

        Beside the bound of the back end, hedges are a small share of all
        sends: when most searchers are late, the load is too high, and hedges
        would make it higher.
        """
        if self._hedges < 1:
            self.denied_count += 1
            return False
        if not self.take(backend, now):
            return False
        self._hedges -= 1
        return True

    def _window(self, backend: str, now: int) -> _Window:
        window = self._windows.get(backend)
        number = now // self._slice_ms
        if window is None:
            window = self._windows[backend] = _Window()
            window.slice = number
        elif number > window.slice:
            window.move_to(number)
        return window
