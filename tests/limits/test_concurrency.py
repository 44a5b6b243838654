from citrondoor import limits
from citrondoor.schema import messages

OUTCOME = messages.SubOutcome
UNLIMITED_CALLS = limits.WarmupLimiter("vm").max_calls("warm", 0)


def offer(limiter, number, customer="acme", deadline_at=1000):
    return limiter.offer(number, number, customer, deadline_at, UNLIMITED_CALLS)


def test_it_starts_then_queues_then_rejects():
    limiter = limits.ConcurrencyLimiter(1, 1, 1)
    assert offer(limiter, 1) == limits.OfferResult.START
    assert offer(limiter, 2) == limits.OfferResult.QUEUED
    assert offer(limiter, 3) == limits.OfferResult.SHED
    limiter.finish(OUTCOME.ANSWERED, 2, 10)
    assert limiter.start_next(10, UNLIMITED_CALLS) == 2
    assert limiter.start_next(10, UNLIMITED_CALLS) is None


def test_a_queued_call_past_its_deadline_is_never_started():
    limiter = limits.ConcurrencyLimiter(1, 1, 10)
    offer(limiter, 1)
    offer(limiter, 2, deadline_at=50)
    offer(limiter, 3, deadline_at=500)
    limiter.finish(OUTCOME.ANSWERED, 2, 100)
    assert limiter.start_next(100, UNLIMITED_CALLS) == 3
    assert limiter.remove_expired(1000) == []


def test_one_call_is_not_delayed_by_the_backlog_of_another_customer():
    limiter = limits.ConcurrencyLimiter(1, 1, 100)
    offer(limiter, 0)
    for number in range(1, 21):
        offer(limiter, number, "greedy")
    offer(limiter, 99, "modest")
    limiter.finish(OUTCOME.ANSWERED, 2, 10)
    first_two = []
    for _ in range(2):
        first_two.append(limiter.start_next(10, UNLIMITED_CALLS))
        limiter.finish(OUTCOME.ANSWERED, 2, 10)
    assert 99 in first_two


def test_a_rejection_sets_a_pause_and_shrinks_the_limit():
    limiter = limits.ConcurrencyLimiter(8, 8, 10)
    offer(limiter, 1)
    limiter.finish(OUTCOME.SHED, 1, 100)
    assert limiter.is_paused(100)
    assert limiter.limit < 8
    assert not limiter.is_paused(limiter.paused_until)


def test_the_limit_grows_only_when_reached_and_stays_within_bounds():
    limiter = limits.ConcurrencyLimiter(4, 2, 10)
    offer(limiter, 1)
    limiter.finish(OUTCOME.ANSWERED, 2, 0)
    assert limiter.limit == 2
    for number in range(200):
        offer(limiter, number)
        offer(limiter, 1000 + number)
        offer(limiter, 2000 + number)
        offer(limiter, 3000 + number)
        while limiter.in_flight:
            limiter.finish(OUTCOME.ANSWERED, 2, number)
            limiter.start_next(number, UNLIMITED_CALLS)
    assert limiter.limit == 4
    for number in range(50):
        offer(limiter, number)
        limiter.finish(OUTCOME.FAILED, 0, number)
    assert limiter.limit == 1


def test_removed_calls_do_not_start():
    limiter = limits.ConcurrencyLimiter(1, 1, 10)
    offer(limiter, 1)
    offer(limiter, 2)
    assert limiter.remove_queued(2) == 2
    assert limiter.remove_queued(2) is None
    limiter.finish(OUTCOME.ANSWERED, 2, 5)
    assert limiter.start_next(5, UNLIMITED_CALLS) is None
