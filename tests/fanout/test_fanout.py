import itertools
import random

import hypothesis
from hypothesis import strategies

from citrondoor import fanout
from citrondoor.schema import serving
from tests import serving_samples as samples

ANSWERED = fanout.Outcome.ANSWERED
FAILED = fanout.Outcome.FAILED
NOT_RUN = fanout.Outcome.NOT_RUN
FanoutStatus = fanout.FanoutStatus


def options(**changes) -> fanout.FanoutOptions:
    values = {
        "min_groups": 3,
        "max_searchers": 2,
        "is_idempotent": True,
        "target_at": 100,
        "give_up_at": 1000,
        "hedge_delay_ms": 30,
        "median_ms": 15.0,
        "remote_cost_ms": 5.0,
    }
    return fanout.FanoutOptions(**(values | changes))


class FanoutHarness:
    """A fanout over several groups with several searchers each."""

    def __init__(self, groups=4, copies=2, slack=1000.0, **changes):
        self.upstreams_by_group = {
            f"s{group}": [
                samples.upstream(f"s{group}-{copy}", f"s{group}")
                for copy in range(copies)
            ]
            for group in range(groups)
        }
        self.replicas = fanout.ReplicaBalancer("a", random.Random(1))
        self.limiter = fanout.HedgeRetryLimiter(
            serving.BoundSettings(extra_slack=slack, extra_ratio=0.0), 1
        )
        self.may_send = lambda upstream, now: True
        self.fanout = fanout.Fanout(
            tuple(self.upstreams_by_group),
            options(**changes),
            lambda group: self.upstreams_by_group[group],
            self.replicas,
            self.limiter,
            lambda upstream, now: self.may_send(upstream, now),
            itertools.count(1),
        )

    def end_send(self, send, outcome, now):
        if outcome == ANSWERED:
            send.replica.record_success(send.token, 15.0, now)
        else:
            send.replica.record_failure(send.token, now)
        return self.fanout.on_send_done(send.token, outcome, now)


def test_a_request_is_sent_once_to_each_group_and_completes():
    harness = FanoutHarness()
    sends = harness.fanout.start(0)
    assert sorted(s.group for s in sends) == ["s0", "s1", "s2", "s3"]
    for send in sends:
        assert harness.fanout.status(10) == FanoutStatus.PENDING
        assert harness.end_send(send, ANSWERED, 10) == []
    assert harness.fanout.status(10) == FanoutStatus.COMPLETE


def test_a_late_send_is_hedged_with_the_sibling():
    harness = FanoutHarness()
    sends = harness.fanout.start(0)
    for send in sends[1:]:
        harness.end_send(send, ANSWERED, 10)
    assert harness.fanout.next_timer_at() == 30
    (hedge,) = harness.fanout.on_timer(30)
    assert hedge.group == sends[0].group
    assert hedge.replica is not sends[0].replica
    harness.end_send(hedge, ANSWERED, 45)
    assert harness.fanout.status(45) == FanoutStatus.COMPLETE


def test_a_hedge_is_not_sent_to_a_sibling_that_is_late_itself():
    harness = FanoutHarness()
    sends = harness.fanout.start(0)
    late = sends[0]
    for upstream in harness.upstreams_by_group[late.group]:
        replica = harness.replicas.get(upstream)
        if replica is not late.replica:
            replica.record_sent(-1, 1.0, 0)
    for send in sends[1:]:
        harness.end_send(send, ANSWERED, 10)
    assert harness.fanout.on_timer(30) == []
    # The hedge is sent once the sibling has answered its late request.
    for upstream in harness.upstreams_by_group[late.group]:
        replica = harness.replicas.get(upstream)
        if replica is not late.replica:
            replica.record_success(-1, 15.0, 40)
    (hedge,) = harness.fanout.on_timer(55)
    assert hedge.group == late.group


def test_an_answer_with_enough_groups_is_partial_at_the_target():
    harness = FanoutHarness(copies=1)
    sends = harness.fanout.start(0)
    for send in sends[1:]:
        harness.end_send(send, ANSWERED, 10)
    assert harness.fanout.on_timer(30) == []
    assert harness.fanout.status(99) == FanoutStatus.PENDING
    assert harness.fanout.next_timer_at() == 100
    assert harness.fanout.status(100) == FanoutStatus.PARTIAL


def test_a_request_with_too_few_groups_fails_when_its_time_is_over():
    harness = FanoutHarness(copies=1)
    sends = harness.fanout.start(0)
    for send in sends[2:]:
        harness.end_send(send, ANSWERED, 10)
    assert harness.fanout.status(999) == FanoutStatus.PENDING
    assert harness.fanout.status(1000) == FanoutStatus.FAILED


def test_nothing_is_sent_if_too_few_groups_have_a_searcher():
    harness = FanoutHarness()
    harness.upstreams_by_group["s0"] = harness.upstreams_by_group["s1"] = []
    assert harness.fanout.start(0) == []
    assert harness.fanout.status(0) == FanoutStatus.NOT_RUN


def test_a_group_without_a_searcher_is_not_waited_for():
    harness = FanoutHarness()
    harness.upstreams_by_group["s0"] = []
    for send in harness.fanout.start(0):
        harness.end_send(send, ANSWERED, 10)
    assert harness.fanout.status(10) == FanoutStatus.PARTIAL


def test_a_rejected_send_is_retried_with_the_sibling_at_once():
    harness = FanoutHarness()
    sends = harness.fanout.start(0)
    (retry,) = harness.end_send(sends[0], NOT_RUN, 5)
    assert retry.replica is not sends[0].replica


def test_a_rejection_does_not_use_up_an_attempt():
    harness = FanoutHarness(groups=1, min_groups=1)
    (send,) = harness.fanout.start(0)
    now = 0
    for _ in range(6):
        now += 25
        retry = harness.end_send(send, NOT_RUN, now) or harness.fanout.on_timer(
            now + 20
        )
        (send,) = retry
    harness.end_send(send, ANSWERED, now + 30)
    assert harness.fanout.status(now + 30) == FanoutStatus.COMPLETE


def test_retries_and_hedges_stop_when_the_budget_is_used_up():
    harness = FanoutHarness(slack=2.0)
    sends = harness.fanout.start(0)
    retries = [harness.end_send(send, NOT_RUN, 5) for send in sends]
    # Each back end has its own limit: `SLACK_SHARE` of the slack, 0.6 * 2,
    # allows one retry.
    assert [len(sends) for sends in retries] == [1, 1, 1, 1]
    assert [harness.end_send(sends[0], NOT_RUN, 6) for sends in retries] == [
        []
    ] * 4
    assert harness.fanout.on_timer(40) == []


def test_a_non_idempotent_request_that_may_have_run_is_not_retried():
    harness = FanoutHarness(groups=1, min_groups=1, is_idempotent=False)
    (send,) = harness.fanout.start(0)
    assert harness.fanout.on_timer(999) == []
    assert harness.end_send(send, FAILED, 999) == []
    assert harness.fanout.status(999) == FanoutStatus.FAILED


def test_a_non_idempotent_request_is_retried_if_it_did_not_run():
    harness = FanoutHarness(groups=1, min_groups=1, is_idempotent=False)
    (send,) = harness.fanout.start(0)
    (retry,) = harness.end_send(send, NOT_RUN, 5)
    harness.end_send(retry, ANSWERED, 10)
    assert harness.fanout.status(10) == FanoutStatus.COMPLETE


def test_the_status_is_not_run_only_if_no_send_is_pending():
    harness = FanoutHarness(groups=1, min_groups=1, is_idempotent=False)
    (send,) = harness.fanout.start(0)
    assert harness.fanout.status(1000) == FanoutStatus.FAILED
    harness.upstreams_by_group["s0"] = []
    harness.end_send(send, NOT_RUN, 1000)
    assert harness.fanout.status(1000) == FanoutStatus.NOT_RUN


def test_a_searcher_that_may_not_get_the_request_is_skipped():
    harness = FanoutHarness(groups=1, min_groups=1)
    harness.may_send = lambda upstream, now: upstream.id != "s0-0"
    assert [s.replica.upstream.id for s in harness.fanout.start(0)] == ["s0-1"]


@hypothesis.given(strategies.data())
def test_no_group_runs_on_more_searchers_than_allowed(data):
    # Sends end with any mix of outcomes, at any time.
    idempotent = data.draw(strategies.booleans())
    harness = FanoutHarness(groups=3, copies=4, is_idempotent=idempotent)
    searchers_run: dict[str, set[str]] = {}
    pending = list(harness.fanout.start(0))
    now = 0
    while pending and now < 1200:
        now += data.draw(strategies.integers(0, 60))
        index = data.draw(strategies.integers(0, len(pending) - 1))
        outcome = data.draw(strategies.sampled_from(list(fanout.Outcome)))
        send = pending.pop(index)
        if outcome != NOT_RUN:
            searchers_run.setdefault(send.group, set()).add(
                send.replica.upstream.id
            )
        pending += harness.end_send(send, outcome, now)
        pending += harness.fanout.on_timer(now)
    for send in pending:
        searchers_run.setdefault(send.group, set()).add(
            send.replica.upstream.id
        )
    limit = 2 if idempotent else 1
    assert all(len(searchers) <= limit for searchers in searchers_run.values())
    if searchers_run:
        assert harness.fanout.status(1200) != FanoutStatus.NOT_RUN


def test_a_searcher_that_failed_is_retried_after_all_allowed_ones_failed():
    # If half of the searchers lose 40% of their answers, all searchers that the
    # route allows have often failed once. Without further sends to them, 24
    # queries, each with a deadline of 2 s, were answered by too few shards.
    harness = FanoutHarness(groups=1, copies=3, min_groups=1)
    (first,) = harness.fanout.start(0)
    (second,) = harness.end_send(first, FAILED, 10)
    (third,) = harness.end_send(second, FAILED, 20)
    # The route allows two searchers.
    assert third.replica in (first.replica, second.replica)
    assert harness.fanout.status(25) == FanoutStatus.PENDING


def test_sends_to_one_searcher_are_limited():
    harness = FanoutHarness(groups=1, copies=3, min_groups=1)
    sends = harness.fanout.start(0)
    searcher_ids = []
    now = 0
    while sends:
        (send,) = sends
        searcher_ids.append(send.replica.upstream.id)
        now += 10
        sends = harness.end_send(send, FAILED, now)
    assert len(searcher_ids) == 6 and len(set(searcher_ids)) == 2
    assert harness.fanout.status(now) == FanoutStatus.FAILED


def test_the_only_searcher_of_a_group_is_retried():
    harness = FanoutHarness(groups=1, copies=1, min_groups=1)
    (first,) = harness.fanout.start(0)
    (second,) = harness.end_send(first, FAILED, 10)
    assert second.replica is first.replica
    # After a rejection, the same searcher is tried again only after a delay.
    assert harness.end_send(second, NOT_RUN, 20) == []
    assert harness.fanout.status(20) == FanoutStatus.PENDING
    (third,) = harness.fanout.on_timer(harness.fanout.next_timer_at())
    assert third.replica is first.replica
