import itertools
import random

import hypothesis
import pytest
from hypothesis import strategies

from citrondoor import declarations as declared
from citrondoor import routing
from citrondoor.schema import messages
from tests import samples
from tests.routing import random_queries

OUTCOME = messages.SubOutcome


class QueryHarness:
    """One query on a back end of three searchers, driven by the test."""

    def __init__(self, latency_ms: int = 0, shards=(), **changes):
        self.usable = {"desk-0", "desk-1", "desk-2"}
        self.cold: set[str] = set()
        self.indexes = [
            declared.SnapshotIndex(samples.snapshot(name))
            for name in ("gen-1", "gen-2")
        ]
        self.latencies = routing.SearcherLatencies()
        chooser = routing.ReplicaChooser(
            self.latencies,
            lambda name: 0,
            lambda name, now: name in self.usable,
            lambda name: name in self.cold,
            random.Random(1),
        )
        snapshot_chooser = routing.SnapshotChooser(chooser)
        snapshot_chooser.set_snapshots(self.indexes)
        request = messages.SearchRequest(
            messages.RequestId("s", 1), "desk", "q", 10, list(shards), 1000
        )
        self.query = routing.Query(
            request,
            samples.contract(latency_ms=latency_ms, **changes),
            chooser,
            snapshot_chooser,
            routing.HedgeRetryBudget(0.02),
            10,
            itertools.count(1),
        )

    def answer_to(self, sub_request, snapshot="gen-2"):
        record_counts = {
            s.name: s.records for g in self.indexes[1].groups for s in g.shards
        }
        shards = [
            messages.ShardAnswer(
                name, record_counts[name], [1.0], [f"{name}-r"]
            )
            for name in sub_request.shards
        ]
        return messages.SubAnswer(
            sub_request.attempt, OUTCOME.ANSWERED, snapshot, shards
        )


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_answers_match_a_scan_of_one_snapshot_and_its_coverage(seed):
    results = random_queries.run_queries(60, seed)
    assert results.problems == []
    assert results.answers > 0


def test_query_covers_all_shards_of_the_newest_snapshot():
    harness = QueryHarness()
    for sub_request in harness.query.start(0).unwrap():
        harness.query.on_answer(harness.answer_to(sub_request), 1)
    answer = harness.query.finish().unwrap()
    assert answer.snapshot == "gen-2"
    assert answer.coverage.missing == []
    assert len(answer.hits) == 4


def test_failed_sub_request_is_retried_on_another_replica():
    harness = QueryHarness()
    failed = harness.query.start(0).unwrap()[0]
    retries = harness.query.on_answer(
        messages.SubAnswer(failed.attempt, OUTCOME.FAILED), 1
    )
    assert [retry.shards for retry in retries] == [failed.shards]
    assert retries[0].searcher != failed.searcher


def test_query_restarts_on_another_snapshot_if_no_replica_holds_it():
    harness = QueryHarness()
    first_sub_requests = list(harness.query.start(0).unwrap())
    sub_request = first_sub_requests[0]
    for _ in range(2):
        sub_requests = harness.query.on_answer(
            messages.SubAnswer(sub_request.attempt, OUTCOME.SNAPSHOT_MISSING), 1
        )
        sub_request = sub_requests[0]
    assert harness.query.snapshot_name == "gen-1"
    assert set(harness.query.drain_cancelled()) >= {
        s.attempt for s in first_sub_requests[1:]
    }
    next_sub_requests = harness.query.on_answer(
        harness.answer_to(first_sub_requests[1]), 2
    )
    assert next_sub_requests == []
    assert harness.query.dropped_count == 1
    for sub_request in sub_requests:
        harness.query.on_answer(harness.answer_to(sub_request, "gen-1"), 3)
    assert harness.query.finish().unwrap().snapshot == "gen-1"


def test_cold_replica_is_chosen_in_spite_of_high_latency():
    harness = QueryHarness(shards=["s0"])
    for _ in range(100):
        harness.latencies.observe("desk-0", 30, 0)
        harness.latencies.observe("desk-1", 3, 0)
    chooser = harness.query._chooser
    chosen = [chooser.choose(("desk-0", "desk-1"), (), 1) for _ in range(50)]
    assert set(chosen) == {"desk-1"}
    harness.cold = {"desk-0"}
    chosen = [chooser.choose(("desk-0", "desk-1"), (), 1) for _ in range(50)]
    assert "desk-0" in chosen


def test_slow_sub_request_is_cancelled_when_its_hedge_is_answered():
    harness = QueryHarness()
    for _ in range(100):
        harness.latencies.observe("desk-0", 5, 0)
    sub_requests = harness.query.start(0).unwrap()
    for sub_request in sub_requests[1:]:
        harness.query.on_answer(harness.answer_to(sub_request), 3)
    hedge_at = harness.query.next_timer_at()
    assert 10 <= hedge_at < 100
    hedges = harness.query.on_timer(hedge_at)
    assert [hedge.hedge for hedge in hedges] == [True]
    harness.query.on_answer(harness.answer_to(hedges[0]), hedge_at + 2)
    assert harness.query.is_done
    assert harness.query.drain_cancelled() == [sub_requests[0].attempt]


def test_latency_first_answers_at_its_target_with_missing_shards():
    harness = QueryHarness(latency_ms=50)
    sub_requests = harness.query.start(0).unwrap()
    for sub_request in sub_requests[1:]:
        harness.query.on_answer(harness.answer_to(sub_request), 3)
    assert harness.query.answer_due_at == 50
    harness.query.cancel_all()
    coverage = harness.query.finish().unwrap().coverage
    assert coverage.missing == sub_requests[0].shards
    assert coverage.shards_answered == 4 - len(sub_requests[0].shards)


def test_coverage_first_retries_after_every_replica_is_unusable():
    harness = QueryHarness()
    sub_requests = harness.query.start(0).unwrap()
    for sub_request in sub_requests[1:]:
        harness.query.on_answer(harness.answer_to(sub_request), 1)
    harness.usable = set()
    harness.query.on_answer(
        messages.SubAnswer(sub_requests[0].attempt, OUTCOME.SHED), 2
    )
    assert not harness.query.is_done
    assert harness.query.on_timer(harness.query.next_timer_at()) == []
    harness.usable = {"desk-0", "desk-1", "desk-2"}
    retries = harness.query.on_timer(harness.query.next_timer_at())
    assert [retry.shards for retry in retries] == [sub_requests[0].shards]


def test_refusal_says_not_run_if_nothing_was_sent():
    harness = QueryHarness(latency_ms=50)
    harness.usable = set()
    assert harness.query.start(0).unwrap() == []
    refusal = harness.query.finish().unwrap_err()
    assert refusal.ran == messages.Ran.NO


def test_refusal_says_unknown_if_a_sub_request_was_sent():
    harness = QueryHarness()
    harness.query.start(0)
    assert harness.query.finish().unwrap_err().ran == messages.Ran.UNKNOWN


@pytest.mark.parametrize(
    ("shards", "max_shards", "kind"),
    [
        ((), 3, messages.RefusalKind.TOO_WIDE),
        (("nowhere",), 10, messages.RefusalKind.MALFORMED),
    ],
)
def test_too_many_or_unknown_shards_are_refused(shards, max_shards, kind):
    harness = QueryHarness(shards=shards, max_shards=max_shards)
    refusal = harness.query.start(0).unwrap_err()
    assert refusal.kind == kind
    assert refusal.ran == messages.Ran.NO
    assert refusal.remedy
