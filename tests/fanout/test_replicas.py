import random

from citrondoor import fanout
from citrondoor.fanout import _replicas
from tests import serving_samples as samples

USUAL_MS = 20.0
LATE_MS = 40.0
NEAR = samples.upstream("near", zone="a")
FAR = samples.upstream("far", zone="b")


def make():
    return fanout.ReplicaBalancer("a", random.Random(1))


def choose(replicas, now=0, remote_cost_ms=5.0, upstreams=(NEAR, FAR)):
    chosen = replicas.choose(upstreams, (), USUAL_MS, remote_cost_ms, now)
    return chosen and chosen.upstream.id


def answer(replicas, upstream, token, sent_at, took_ms):
    replica = replicas.get(upstream)
    replica.record_sent(token, LATE_MS, sent_at)
    return replica.record_success(token, USUAL_MS, sent_at + took_ms)


def test_the_own_zone_is_preferred_among_equals():
    replicas = make()
    assert {choose(replicas) for _ in range(20)} == {"near"}


def test_work_moves_away_from_a_searcher_that_holds_an_answer():
    replicas = make()
    replicas.get(NEAR).record_sent(1, LATE_MS, 0)
    before, after = int(LATE_MS) - 1, int(LATE_MS) + 1
    assert choose(replicas, now=before, remote_cost_ms=20.0) == "near"
    assert choose(replicas, now=after, remote_cost_ms=20.0) == "far"


def test_it_comes_back_with_the_first_answer():
    replicas = make()
    replicas.get(NEAR).record_sent(1, LATE_MS, 0)
    assert choose(replicas, now=60) == "far"
    replicas.get(NEAR).record_success(1, USUAL_MS, 60)
    assert choose(replicas, now=60, remote_cost_ms=20.0) == "near"


def test_a_slow_searcher_is_tried_again_after_a_while():
    replicas = make()
    for token in range(6):
        answer(replicas, NEAR, token, token * 200, 200)
    assert choose(replicas, now=1300) == "far"
    later = 1300 + 8 * _replicas.FORGET_MS
    assert choose(replicas, now=later) == "near"


def test_failures_cost_more_than_a_longer_way():
    replicas = make()
    for token in range(5):
        replicas.get(NEAR).record_sent(token, LATE_MS, 0)
        replicas.get(NEAR).record_failure(token, 0)
    assert choose(replicas, now=1) == "far"


def test_an_unreachable_searcher_is_left_alone_and_tried_again():
    replicas = make()
    replicas.get(NEAR).block(0)
    assert choose(replicas, now=1) == "far"
    assert choose(replicas, now=1, upstreams=[NEAR]) is None
    assert choose(replicas, _replicas.FIRST_BLOCK_MS) == "near"


def test_answers_that_never_come_block_a_silent_searcher():
    replicas = make()
    silent = replicas.get(NEAR)
    for token in range(_replicas.SILENT_LIMIT):
        silent.record_sent(token, LATE_MS, 0)
    for token in range(_replicas.SILENT_LIMIT):
        silent.record_no_response(token, USUAL_MS, 400)
    assert choose(replicas, now=401, upstreams=[NEAR]) is None


def test_a_withdrawn_request_that_was_not_late_says_nothing():
    replicas = make()
    for token in range(5):
        replicas.get(NEAR).record_sent(token, LATE_MS, 0)
        replicas.get(NEAR).record_no_response(token, USUAL_MS, 10)
    assert choose(replicas, now=11) == "near"


def test_a_new_incarnation_starts_without_a_past():
    replicas = make()
    replicas.get(NEAR).block(0)
    again = samples.upstream("near", zone="a", born_ms=2)
    assert choose(replicas, now=1, upstreams=[again]) == "near"


def test_work_goes_to_the_other_zone_before_it_queues():
    replicas = make()
    for token in range(NEAR.capacity):
        replicas.get(NEAR).record_sent(token, 1000, 0)
    assert choose(replicas, now=1) == "far"
