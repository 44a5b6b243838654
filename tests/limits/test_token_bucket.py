import hypothesis
from hypothesis import strategies

from citrondoor import limits


@hypothesis.given(
    rate=strategies.floats(0.5, 500),
    burst=strategies.integers(1, 50),
    gaps=strategies.lists(strategies.integers(0, 400), max_size=150),
)
def test_no_interval_admits_more_than_burst_plus_rate(rate, burst, gaps):
    bucket = limits.TokenBucket(0)
    bucket.resize(rate, burst, 0)
    now = 0
    admitted = []
    for gap in gaps:
        now += gap
        while bucket.try_acquire(now):
            admitted.append(now)
    for first, start in enumerate(admitted):
        for last in range(first, len(admitted)):
            max_admitted = burst + rate * (admitted[last] - start) / 1000
            assert last - first + 1 <= max_admitted + 1e-6


def test_it_starts_empty_and_returns_the_wait_for_a_token():
    bucket = limits.TokenBucket(0)
    bucket.resize(10, 5, 0)
    assert not bucket.try_acquire(0)
    wait = bucket.wait_ms(0)
    assert bucket.try_acquire(wait)


def test_a_smaller_burst_removes_the_tokens_above_it():
    bucket = limits.TokenBucket(0)
    bucket.resize(1000, 10, 0)
    bucket.resize(1000, 2, 1000)
    assert bucket.level == 2


def test_remove_returns_the_number_of_removed_tokens():
    bucket = limits.TokenBucket(0)
    bucket.resize(1000, 10, 0)
    assert bucket.remove(4, 1000) == 4
    assert bucket.level == 6
    assert bucket.remove(100, 1000) == 6
