import bisect
import random

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor.fanout import _budget
from citrondoor.schema import serving

BOUNDS = serving.BoundSettings(extra_ratio=0.2, extra_slack=54)
WINDOW_MS = int(BOUNDS.extra_window_s * clocks.MS_PER_S)


def count_in_window(times, start):
    """Counts sorted times in the window that begins at `start`."""
    first = bisect.bisect_left(times, start)
    return bisect.bisect_left(times, start + WINDOW_MS) - first


@hypothesis.given(
    strategies.integers(1, 7), strategies.integers(0, 2**32), strategies.data()
)
def test_all_daemons_together_stay_within_the_limit(member_count, seed, data):
    # Each request needs a hedge or retry, as when all searchers are slow.
    rate = data.draw(strategies.integers(1, 60))
    rng = random.Random(seed)
    daemons = [
        fanout.HedgeRetryLimiter(BOUNDS, member_count)
        for _ in range(member_count)
    ]
    requests, extras = [], []
    now = 1000
    while now < 35_000:
        now += int(rng.expovariate(rate) * clocks.MS_PER_S) + 1
        daemon = rng.choice(daemons)
        daemon.record_request("store", now)
        requests.append(now)
        if daemon.try_acquire("store", now):
            extras.append(now)
    for start in extras:
        # A hedge or retry is earned by the requests of the window that ends
        # with it, so those before `start` count too: the limit is taken from
        # the window with most requests, out of this one and those that begin
        # half a window and one window earlier.
        allowed = BOUNDS.extra_slack + BOUNDS.extra_ratio * max(
            count_in_window(requests, start),
            count_in_window(requests, start - WINDOW_MS // 2),
            count_in_window(requests, start - WINDOW_MS),
        )
        assert count_in_window(extras, start) <= allowed


def test_a_daemon_without_requests_may_use_its_part_of_the_slack():
    limiter = fanout.HedgeRetryLimiter(BOUNDS, 5)
    granted = sum(limiter.try_acquire("store", 1000) for _ in range(100))
    assert 1 <= granted <= BOUNDS.extra_slack / 5
    assert limiter.denied_count == 100 - granted


def test_budget_is_available_again_after_the_window():
    limiter = fanout.HedgeRetryLimiter(BOUNDS, 1)
    while limiter.try_acquire("store", 1000):
        pass
    assert not limiter.try_acquire("store", 1000 + WINDOW_MS - 1)
    assert limiter.try_acquire("store", 1000 + 2 * WINDOW_MS)


def test_hedges_are_limited_to_a_share_of_the_sends_to_all_back_ends():
    bounds = serving.BoundSettings(extra_ratio=0.2, extra_slack=1000)
    limiter = fanout.HedgeRetryLimiter(bounds, 1)
    send_count = 2000
    hedge_count = 0
    for number in range(send_count):
        backend = f"s{number % 20}"
        limiter.record_request(backend, number)
        hedge_count += limiter.try_acquire_hedge(backend, number)
    assert hedge_count <= _budget.HEDGE_BURST + _budget.HEDGE_SHARE * send_count
    assert hedge_count >= _budget.HEDGE_SHARE * send_count
    # Retries are limited by the budget of their back end only.
    assert limiter.try_acquire("s1", send_count)


def test_hedges_that_are_answered_first_are_refunded():
    bounds = serving.BoundSettings(extra_ratio=0.2, extra_slack=10_000)

    def hedge_share(win_share, send_count=4000):
        limiter = fanout.HedgeRetryLimiter(bounds, 1)
        rng = random.Random(1)
        hedge_count = 0
        for number in range(send_count):
            limiter.record_request("s", number)
            if limiter.try_acquire_hedge("s", number):
                hedge_count += 1
                if rng.random() < win_share:
                    limiter.record_hedge_won()
        return hedge_count / send_count

    # If few searchers are late, nearly every hedge is answered first; if all
    # are saturated, half are. With `HEDGE_SHARE`, this allows hedges for 14%
    # and 5% of the requests, plus the burst.
    assert hedge_share(0.98) > 0.12
    assert hedge_share(0.5) < 0.07


# Daemons of the users' small and large deployments and of the sweep, with the
# slack that the platform gives them: about 5.5 for each VM above five.
FLEETS = [(5, 54), (78, 430), (300, 1650)]
CHANGE_AT_MS = 30_000


class Fleet:
    """Daemons that need a hedge or retry for each request.

    Args:
      size: Number of daemons.
      slack: Hedges and retries that all may send beyond their ratio.
    """

    def __init__(self, size: int, slack: int):
        self.bounds = serving.BoundSettings(extra_ratio=0.2, extra_slack=slack)
        self.rng = random.Random(size)
        self.daemons: list[fanout.HedgeRetryLimiter] = []
        self.requests: list[int] = []
        self.extras: list[int] = []
        self.add(size)

    def add(self, count: int) -> None:
        """Starts daemons; all daemons learn of them at once."""
        size = len(self.daemons) + count
        self.daemons += [
            fanout.HedgeRetryLimiter(self.bounds, size) for _ in range(count)
        ]
        for daemon in self.daemons:
            daemon.set_member_count(size)

    def restart(self, count: int) -> None:
        """Replaces daemons by new ones that do not know what was sent."""
        size = len(self.daemons)
        self.daemons[:count] = [
            fanout.HedgeRetryLimiter(self.bounds, size) for _ in range(count)
        ]

    def play(self, until_ms: int) -> None:
        now = self.requests[-1] if self.requests else 1000
        while now < until_ms:
            now += int(self.rng.expovariate(40) * clocks.MS_PER_S) + 1
            daemon = self.rng.choice(self.daemons)
            daemon.record_request("store", now)
            self.requests.append(now)
            # All searchers are slow or fail, so each attempt is repeated.
            for limiter in (daemon, *self.rng.sample(self.daemons, 3)):
                if limiter.try_acquire("store", now):
                    self.extras.append(now)

    def worst_excess(self) -> float:
        """Returns the most hedges and retries over the limit in a window."""
        return max(
            count_in_window(self.extras, start)
            - self.bounds.extra_slack
            - self.bounds.extra_ratio
            * max(
                count_in_window(self.requests, start - shift)
                for shift in (0, WINDOW_MS // 2, WINDOW_MS)
            )
            for start in self.extras
        )


def grow(fleet: Fleet) -> None:
    fleet.add(len(fleet.daemons) // 2)


def restart_half(fleet: Fleet) -> None:
    fleet.restart(len(fleet.daemons) // 2)


def restart_all(fleet: Fleet) -> None:
    fleet.restart(len(fleet.daemons))


@pytest.mark.parametrize(("size", "slack"), FLEETS)
@pytest.mark.parametrize("change", [grow, restart_half, restart_all])
def test_changes_of_members_do_not_exceed_the_limit_or_starve(
    size, slack, change
):
    fleet = Fleet(size, slack)
    fleet.play(CHANGE_AT_MS)
    change(fleet)
    sent_before = len(fleet.extras)
    fleet.play(CHANGE_AT_MS + 2 * WINDOW_MS)
    assert fleet.worst_excess() <= 0
    # Half of what the ratio alone allows in two windows.
    assert len(fleet.extras) - sent_before >= 0.5 * 0.2 * 40 * 20
