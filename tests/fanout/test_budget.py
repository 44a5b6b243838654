import random

import hypothesis
from hypothesis import strategies

from citrondoor import clock as clocks
from citrondoor import fanout
from citrondoor.fanout import _budget
from citrondoor.schema import serving

BOUNDS = serving.BoundSettings(extra_ratio=0.2, extra_slack=54)
WINDOW_MS = int(BOUNDS.extra_window_s * clocks.MS_PER_S)


def count_in(times, start):
    return sum(start <= at < start + WINDOW_MS for at in times)


@hypothesis.given(
    strategies.integers(1, 7), strategies.integers(0, 2**32), strategies.data()
)
def test_all_daemons_together_stay_within_the_bound(members, seed, data):
    # Every request wants an extra send, as when all searchers are slow.
    rate = data.draw(strategies.integers(1, 60))
    rng = random.Random(seed)
    daemons = [
        fanout.HedgeRetryBudgets(BOUNDS, members) for _ in range(members)
    ]
    requests, extras = [], []
    now = 1000
    while now < 35_000:
        now += int(rng.expovariate(rate) * clocks.MS_PER_S) + 1
        daemon = rng.choice(daemons)
        daemon.record_request("store", now)
        requests.append(now)
        if daemon.take("store", now):
            extras.append(now)
    for start in extras:
        # The rule takes the best of this window and the ones before.
        allowed = BOUNDS.extra_slack + BOUNDS.extra_ratio * max(
            count_in(requests, start),
            count_in(requests, start - WINDOW_MS // 2),
            count_in(requests, start - WINDOW_MS),
        )
        assert count_in(extras, start) <= allowed


def test_an_idle_back_end_has_its_part_of_the_slack():
    budgets = fanout.HedgeRetryBudgets(BOUNDS, 5)
    taken = sum(budgets.take("store", 1000) for _ in range(100))
    assert 1 <= taken <= BOUNDS.extra_slack / 5
    assert budgets.denied_count == 100 - taken


def test_what_was_spent_comes_back_after_the_window():
    budgets = fanout.HedgeRetryBudgets(BOUNDS, 1)
    while budgets.take("store", 1000):
        pass
    assert not budgets.take("store", 1000 + WINDOW_MS - 1)
    assert budgets.take("store", 1000 + 2 * WINDOW_MS)


def test_hedges_are_a_share_of_all_sends_over_all_back_ends():
    bounds = serving.BoundSettings(extra_ratio=0.2, extra_slack=1000)
    budgets = fanout.HedgeRetryBudgets(bounds, 1)
    sent = 2000
    hedges = 0
    for number in range(sent):
        backend = f"s{number % 20}"
        budgets.record_request(backend, number)
        hedges += budgets.take_hedge(backend, number)
    assert hedges <= _budget.HEDGE_BURST + _budget.HEDGE_SHARE * sent
    assert hedges >= _budget.HEDGE_SHARE * sent
    # Retries have the budget of their back end for themselves.
    assert budgets.take("s1", sent)


def test_hedges_that_are_answered_first_are_given_back():
    bounds = serving.BoundSettings(extra_ratio=0.2, extra_slack=10_000)

    def hedged(wins, sent=4000):
        budgets = fanout.HedgeRetryBudgets(bounds, 1)
        rng = random.Random(1)
        hedges = 0
        for number in range(sent):
            budgets.record_request("s", number)
            if budgets.take_hedge("s", number):
                hedges += 1
                if rng.random() < wins:
                    budgets.note_hedge_won()
        return hedges / sent

    # A minority is late: nearly each hedge helps. All are busy: half do.
    assert hedged(0.98) > 0.12
    assert hedged(0.5) < 0.07
