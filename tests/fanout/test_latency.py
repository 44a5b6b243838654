import random

from citrondoor import fanout
from citrondoor.fanout import _latency


def test_the_hedge_delay_follows_the_latency_up_to_a_share_of_the_target():
    latencies = fanout.RouteLatencies()
    initial_ms = latencies.hedge_delay_ms("r", 100)
    assert initial_ms == _latency.INITIAL_HEDGE_DELAY_SHARE * 100
    for _ in range(100):
        latencies.observe("r", 12)
    assert 12 < latencies.hedge_delay_ms("r", 100) < 25
    for _ in range(400):
        latencies.observe("r", 90)
    assert (
        latencies.hedge_delay_ms("r", 100)
        == _latency.MAX_HEDGE_DELAY_SHARE * 100
    )


def test_routes_have_separate_medians():
    latencies = fanout.RouteLatencies()
    for _ in range(100):
        latencies.observe("slow", 90)
        latencies.observe("fast", 4)
    assert latencies.median_ms("fast") < 10 < latencies.median_ms("slow")


def test_little_remaining_time_does_not_cause_hedges_for_most_searchers():
    # With 15 ms of a target of 56 ms remaining, `MAX_HEDGE_DELAY_SHARE` of them
    # is 6 ms, less than any of these latencies. With such delays, callers that
    # had used half of the target had hedges sent for most of 90 shards, and the
    # queries that followed had none.
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


def add_answers(latencies, rng, median_ms, slow_share=0.0, count=1000):
    """Adds answers of requests; returns whether the route is saturated."""
    for number in range(count):
        if number % 20 == 0:
            latencies.on_request_start("r")
        latency_ms = median_ms * rng.lognormvariate(0, 0.35)
        if rng.random() < slow_share:
            latency_ms *= 10
        latencies.observe("r", latency_ms)
    return latencies.is_saturated("r")


def test_a_route_is_saturated_when_its_median_has_risen():
    latencies = fanout.RouteLatencies()
    rng = random.Random(1)
    assert latencies.is_saturated("r")
    assert not add_answers(latencies, rng, 45)
    # Median if 63% of the slots are in use and the work takes 42 ms; 1.33 times
    # the median before, more than `SATURATED_FACTOR`.
    assert add_answers(latencies, rng, 60)
    assert not add_answers(latencies, rng, 45)


def test_a_slow_quarter_of_the_searchers_does_not_saturate_a_route():
    latencies = fanout.RouteLatencies()
    rng = random.Random(1)
    add_answers(latencies, rng, 12, count=5000)
    assert not add_answers(latencies, rng, 12, slow_share=0.25, count=5000)


def test_a_route_whose_work_has_grown_permanently_is_unsaturated_again():
    latencies = fanout.RouteLatencies()
    rng = random.Random(1)
    add_answers(latencies, rng, 12)
    assert add_answers(latencies, rng, 20)
    assert not add_answers(latencies, rng, 20, count=150_000)
