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


class Desk:
    """A back end without sockets: one query, driven by hand."""

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
        choice = routing.SnapshotChooser(chooser)
        choice.set_snapshots(self.indexes)
        request = messages.SearchRequest(
            messages.RequestId("s", 1), "desk", "q", 10, list(shards), 1000
        )
        self.query = routing.Query(
            request,
            samples.contract(latency_ms=latency_ms, **changes),
            chooser,
            choice,
            routing.HedgeRetryBudget(0.02),
            10,
            itertools.count(1),
        )

    def good(self, sub, snapshot="gen-2"):
        by_name = {
            s.name: s.records for g in self.indexes[1].groups for s in g.shards
        }
        shards = [
            messages.ShardAnswer(name, by_name[name], [1.0], [f"{name}-r"])
            for name in sub.shards
        ]
        return messages.SubAnswer(
            sub.attempt, OUTCOME.ANSWERED, snapshot, shards
        )


@hypothesis.given(seed=strategies.integers(0, 1 << 30))
def test_no_answer_is_wrong_mixed_or_wrongly_covered(seed):
    tally = random_queries.play_many(60, seed)
    assert tally.problems == []
    assert tally.answers > 0


def test_it_reads_the_newest_snapshot_whole():
    desk = Desk()
    for sub in desk.query.start(0).unwrap():
        desk.query.on_answer(desk.good(sub), 1)
    answer = desk.query.finish().unwrap()
    assert answer.snapshot == "gen-2"
    assert answer.coverage.missing == []
    assert len(answer.hits) == 4


def test_a_lost_shard_is_tried_on_another_replica():
    desk = Desk()
    first = desk.query.start(0).unwrap()[0]
    again = desk.query.on_answer(
        messages.SubAnswer(first.attempt, OUTCOME.FAILED), 1
    )
    assert [sub.shards for sub in again] == [first.shards]
    assert again[0].searcher != first.searcher


def test_a_snapshot_that_nobody_holds_starts_the_query_again_on_another():
    desk = Desk()
    open_subs = list(desk.query.start(0).unwrap())
    sub = open_subs[0]
    for _ in range(2):
        more = desk.query.on_answer(
            messages.SubAnswer(sub.attempt, OUTCOME.SNAPSHOT_MISSING), 1
        )
        sub = more[0]
    assert desk.query.snapshot_name == "gen-1"
    assert set(desk.query.drain_cancelled()) >= {
        s.attempt for s in open_subs[1:]
    }
    late = desk.query.on_answer(desk.good(open_subs[1]), 2)
    assert late == []
    assert desk.query.dropped_count == 1
    for sub in more:
        desk.query.on_answer(desk.good(sub, "gen-1"), 3)
    assert desk.query.finish().unwrap().snapshot == "gen-1"


def test_a_cold_replica_with_a_lease_gets_work_though_it_was_slow():
    desk = Desk(shards=["s0"])
    for _ in range(100):
        desk.latencies.observe("desk-0", 30, 0)
        desk.latencies.observe("desk-1", 3, 0)
    chooser = desk.query._chooser
    picks = [chooser.choose(("desk-0", "desk-1"), (), 1) for _ in range(50)]
    assert set(picks) == {"desk-1"}
    desk.cold = {"desk-0"}
    picks = [chooser.choose(("desk-0", "desk-1"), (), 1) for _ in range(50)]
    assert "desk-0" in picks


def test_a_straggler_is_hedged_and_taken_back():
    desk = Desk()
    for _ in range(100):
        desk.latencies.observe("desk-0", 5, 0)
    subs = desk.query.start(0).unwrap()
    for sub in subs[1:]:
        desk.query.on_answer(desk.good(sub), 3)
    due = desk.query.next_timer_at()
    assert 10 <= due < 100
    hedges = desk.query.on_timer(due)
    assert [h.hedge for h in hedges] == [True]
    desk.query.on_answer(desk.good(hedges[0]), due + 2)
    assert desk.query.is_done
    assert desk.query.drain_cancelled() == [subs[0].attempt]


def test_latency_first_answers_by_its_target_and_says_what_is_missing():
    desk = Desk(latency_ms=50)
    subs = desk.query.start(0).unwrap()
    for sub in subs[1:]:
        desk.query.on_answer(desk.good(sub), 3)
    assert desk.query.answer_due_at == 50
    desk.query.cancel_all()
    coverage = desk.query.finish().unwrap().coverage
    assert coverage.missing == subs[0].shards
    assert coverage.shards_answered == 4 - len(subs[0].shards)


def test_coverage_first_goes_on_trying_until_the_deadline():
    desk = Desk()
    subs = desk.query.start(0).unwrap()
    for sub in subs[1:]:
        desk.query.on_answer(desk.good(sub), 1)
    desk.usable = set()
    desk.query.on_answer(messages.SubAnswer(subs[0].attempt, OUTCOME.SHED), 2)
    assert not desk.query.is_done
    assert desk.query.on_timer(desk.query.next_timer_at()) == []
    desk.usable = {"desk-0", "desk-1", "desk-2"}
    again = desk.query.on_timer(desk.query.next_timer_at())
    assert [sub.shards for sub in again] == [subs[0].shards]


def test_nothing_sent_is_refused_as_not_run():
    desk = Desk(latency_ms=50)
    desk.usable = set()
    assert desk.query.start(0).unwrap() == []
    refusal = desk.query.finish().unwrap_err()
    assert refusal.ran == messages.Ran.NO


def test_something_sent_is_refused_as_unknown():
    desk = Desk()
    desk.query.start(0)
    assert desk.query.finish().unwrap_err().ran == messages.Ran.UNKNOWN


@pytest.mark.parametrize(
    ("shards", "max_shards", "kind"),
    [
        ((), 3, messages.RefusalKind.TOO_WIDE),
        (("nowhere",), 10, messages.RefusalKind.MALFORMED),
    ],
)
def test_what_the_contract_or_snapshot_does_not_have_is_refused(
    shards, max_shards, kind
):
    desk = Desk(shards=shards, max_shards=max_shards)
    refusal = desk.query.start(0).unwrap_err()
    assert refusal.kind == kind
    assert refusal.ran == messages.Ran.NO
    assert refusal.remedy
