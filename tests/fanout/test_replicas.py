import random

from citrondoor import fanout
from citrondoor.fanout import _replicas
from tests import serving_samples as samples

MEDIAN_MS = 20.0
LATE_AFTER_MS = 40.0
SAME_ZONE = samples.upstream("near", zone="a")
OTHER_ZONE = samples.upstream("far", zone="b")


def make_balancer():
    return fanout.ReplicaBalancer("a", random.Random(1))


def choose(
    balancer, now=0, remote_cost_ms=5.0, upstreams=(SAME_ZONE, OTHER_ZONE)
):
    chosen = balancer.choose(upstreams, (), MEDIAN_MS, remote_cost_ms, now)
    return chosen and chosen.upstream.id


def record_answer(balancer, upstream, token, sent_at, latency_ms):
    replica = balancer.get(upstream)
    replica.record_sent(token, LATE_AFTER_MS, sent_at)
    return replica.record_success(token, MEDIAN_MS, sent_at + latency_ms)


def test_the_own_zone_is_preferred_among_equal_searchers():
    balancer = make_balancer()
    assert {choose(balancer) for _ in range(20)} == {"near"}


def test_a_searcher_with_a_late_request_is_avoided():
    balancer = make_balancer()
    balancer.get(SAME_ZONE).record_sent(1, LATE_AFTER_MS, 0)
    before, after = int(LATE_AFTER_MS) - 1, int(LATE_AFTER_MS) + 1
    assert choose(balancer, now=before, remote_cost_ms=20.0) == "near"
    assert choose(balancer, now=after, remote_cost_ms=20.0) == "far"


def test_a_late_searcher_is_chosen_again_after_its_first_answer():
    balancer = make_balancer()
    balancer.get(SAME_ZONE).record_sent(1, LATE_AFTER_MS, 0)
    assert choose(balancer, now=60) == "far"
    balancer.get(SAME_ZONE).record_success(1, MEDIAN_MS, 60)
    assert choose(balancer, now=60, remote_cost_ms=20.0) == "near"


def test_a_slow_searcher_is_tried_again_after_a_while():
    balancer = make_balancer()
    for token in range(6):
        record_answer(balancer, SAME_ZONE, token, token * 200, 200)
    assert choose(balancer, now=1300) == "far"
    later = 1300 + 8 * _replicas.HALF_LIFE_MS
    assert choose(balancer, now=later) == "near"


def test_a_failing_searcher_costs_more_than_one_in_another_zone():
    balancer = make_balancer()
    for token in range(5):
        balancer.get(SAME_ZONE).record_sent(token, LATE_AFTER_MS, 0)
        balancer.get(SAME_ZONE).record_failure(token, 0)
    assert choose(balancer, now=1) == "far"


def test_an_unreachable_searcher_is_blocked_and_tried_again():
    balancer = make_balancer()
    balancer.get(SAME_ZONE).block(0)
    assert choose(balancer, now=1) == "far"
    assert choose(balancer, now=1, upstreams=[SAME_ZONE]) is None
    assert choose(balancer, _replicas.INITIAL_BLOCK_MS) == "near"


def test_late_requests_without_a_response_block_a_searcher():
    balancer = make_balancer()
    replica = balancer.get(SAME_ZONE)
    for token in range(_replicas.NO_RESPONSE_LIMIT):
        replica.record_sent(token, LATE_AFTER_MS, 0)
    for token in range(_replicas.NO_RESPONSE_LIMIT):
        replica.record_no_response(token, MEDIAN_MS, 400)
    assert choose(balancer, now=401, upstreams=[SAME_ZONE]) is None


def test_a_cancelled_request_that_was_not_late_changes_nothing():
    balancer = make_balancer()
    for token in range(5):
        balancer.get(SAME_ZONE).record_sent(token, LATE_AFTER_MS, 0)
        balancer.get(SAME_ZONE).record_no_response(token, MEDIAN_MS, 10)
    assert choose(balancer, now=11) == "near"


def test_a_new_incarnation_starts_with_an_empty_state():
    balancer = make_balancer()
    balancer.get(SAME_ZONE).block(0)
    restarted = samples.upstream("near", zone="a", born_ms=2)
    assert choose(balancer, now=1, upstreams=[restarted]) == "near"


def test_requests_go_to_another_zone_rather_than_queue():
    balancer = make_balancer()
    for token in range(SAME_ZONE.capacity):
        balancer.get(SAME_ZONE).record_sent(token, 1000, 0)
    assert choose(balancer, now=1) == "far"


def test_a_searcher_that_breaks_off_at_once_is_blocked():
    # The requests are not late yet: without this, they would not count.
    balancer = make_balancer()
    for token in range(_replicas.NO_RESPONSE_LIMIT):
        balancer.get(SAME_ZONE).record_sent(token, LATE_AFTER_MS, 0)
        balancer.get(SAME_ZONE).record_broken_off(token, 1)
    assert choose(balancer, now=2) == "far"


def play_resets(seed, is_random=False, seconds=60):
    """Plays requests that must not be repeated while a searcher resets some.

    Four searchers, five daemons, 11 requests a second; one searcher resets 45%
    of its requests at once.

    Returns:
      The share of the requests that were lost.
    """
    rng = random.Random(seed)
    upstreams = [samples.upstream(f"i-{n}") for n in range(4)]
    balancers = [
        fanout.ReplicaBalancer("a", random.Random(seed + n)) for n in range(5)
    ]
    pending = []
    lost = requests = 0
    now = 0.0
    while now < seconds * 1000:
        now += rng.expovariate(11 / 1000)
        requests += 1
        for event in sorted(e for e in pending if e[0] <= now):
            pending.remove(event)
            ended_at, token, balancer, upstream, is_ok = event
            replica = balancers[balancer].get(upstreams[upstream])
            if is_ok:
                replica.record_success(token, 103.0, int(ended_at))
            else:
                replica.record_broken_off(token, int(ended_at))
        balancer = rng.randrange(5)
        replica = balancers[balancer].choose(
            upstreams, (), 103.0, 5.0, int(now), loss_ms=2000
        )
        upstream = upstreams.index(replica.upstream)
        if is_random:
            upstream = rng.randrange(4)
            replica = balancers[balancer].get(upstreams[upstream])
        replica.record_sent(requests, 200.0, int(now))
        is_ok = upstream or rng.random() >= 0.45
        lost += not is_ok
        ended_at = now + (103.0 if is_ok else 2.0)
        pending.append((ended_at, requests, balancer, upstream, is_ok))
    return lost / requests


def test_few_requests_are_lost_at_a_searcher_that_resets_them():
    seeds = range(5)
    lost = sum(play_resets(seed) for seed in seeds) / len(seeds)
    at_random = sum(play_resets(seed, True) for seed in seeds) / len(seeds)
    assert 0.09 < at_random < 0.14
    assert lost < at_random / 3
