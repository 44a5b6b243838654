import random

from citrondoor import fanout
from citrondoor.fanout import _latency


def test_the_delay_follows_the_usual_latency_and_ends_before_the_target():
    latencies = fanout.RouteLatencies()
    first = latencies.hedge_delay_ms("r", 100)
    assert first == _latency.FIRST_HEDGE_SHARE * 100
    for _ in range(100):
        latencies.observe("r", 12)
    assert 12 < latencies.hedge_delay_ms("r", 100) < 25
    for _ in range(400):
        latencies.observe("r", 90)
    assert (
        latencies.hedge_delay_ms("r", 100) == _latency.LATEST_HEDGE_SHARE * 100
    )


def test_routes_do_not_mix():
    latencies = fanout.RouteLatencies()
    for _ in range(100):
        latencies.observe("slow", 90)
        latencies.observe("fast", 4)
    assert latencies.median_ms("fast") < 10 < latencies.median_ms("slow")


def test_a_caller_in_a_hurry_does_not_make_most_searchers_late():
    # Found by the bench: hvk-search-grown scale-2. Callers that had used half
    # of a target of 56 ms had hedges sent for most of 90 shards, and the
    # queries after them had none.
    latencies = fanout.RouteLatencies()
    for number in range(400):
        latencies.observe("r", 8 + number % 10)
    assert latencies.hedge_delay_ms("r", 56, 15) >= 15
    assert latencies.hedge_delay_ms("r", 56, 50) <= 0.4 * 56


def test_a_slow_fifth_of_the_searchers_does_not_delay_hedges():
    latencies = fanout.RouteLatencies()
    for number in range(400):
        latencies.observe("r", 100 if number % 5 == 0 else 10)
    assert latencies.hedge_delay_ms("r", 240) < 25


def observe(latencies, rng, median_ms, slow_share=0.0, count=1000):
    """Adds answers of requests; returns whether searchers count as busy."""
    for number in range(count):
        if number % 20 == 0:
            latencies.on_request_start("r")
        latency_ms = median_ms * rng.lognormvariate(0, 0.35)
        if rng.random() < slow_share:
            latency_ms *= 10
        latencies.observe("r", latency_ms)
    return latencies.is_saturated("r")


def test_searchers_count_as_busy_when_the_median_has_risen():
    latencies = fanout.RouteLatencies()
    rng = random.Random(1)
    assert latencies.is_saturated("r")
    assert not observe(latencies, rng, 45)
    # What 63% of busy slots do to the median of 42 ms of work.
    assert observe(latencies, rng, 60)
    assert not observe(latencies, rng, 45)


def test_a_slow_quarter_of_the_searchers_does_not_count_as_busy():
    latencies = fanout.RouteLatencies()
    rng = random.Random(1)
    observe(latencies, rng, 12, count=5000)
    assert not observe(latencies, rng, 12, slow_share=0.25, count=5000)


def test_work_that_has_grown_for_good_is_calm_again():
    latencies = fanout.RouteLatencies()
    rng = random.Random(1)
    observe(latencies, rng, 12)
    assert observe(latencies, rng, 20)
    assert not observe(latencies, rng, 20, count=150_000)
