import hypothesis
from hypothesis import strategies

from citrondoor import limits


@hypothesis.given(
    rate=strategies.floats(0.5, 500),
    burst=strategies.integers(1, 50),
    gaps=strategies.lists(strategies.integers(0, 400), max_size=150),
)
def test_no_window_admits_more_than_burst_and_rate(rate, burst, gaps):
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
            max_calls = burst + rate * (admitted[last] - start) / 1000
            assert last - first + 1 <= max_calls + 1e-6


def test_it_starts_empty_and_tells_the_wait():
    bucket = limits.TokenBucket(0)
    bucket.resize(10, 5, 0)
    assert not bucket.try_acquire(0)
    wait = bucket.wait_ms(0)
    assert bucket.try_acquire(wait)


def test_a_smaller_size_loses_tokens():
    bucket = limits.TokenBucket(0)
    bucket.resize(1000, 10, 0)
    bucket.resize(1000, 2, 1000)
    assert bucket.level == 2


def test_a_transfer_takes_out_what_it_returns():
    bucket = limits.TokenBucket(0)
    bucket.resize(1000, 10, 0)
    assert bucket.remove(4, 1000) == 4
    assert bucket.level == 6
    assert bucket.remove(100, 1000) == 6
