"""Random queries against a simulated back end with faults.

It delays, reorders, repeats and loses sub-answers, and sends wrong ones. Every
answer is compared with a scan of its snapshot.

`python -m tests.routing.random_queries --queries 100000 --seed 7`
"""

import collections
import itertools
import random
import sys

import click

from citrondoor import declarations as declared
from citrondoor import merging
from citrondoor import routing
from citrondoor.schema import messages
from tests import samples

OUTCOME = messages.SubOutcome
SEARCHER_COUNT = 6
SHARD_COUNT = 9
DEADLINE_MS = 400


class SimulatedBackend:
    """Searchers of which some are unusable and some lack a snapshot."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.now = 0
        self.snapshots = [
            declared.SnapshotIndex(
                samples.snapshot(n, SHARD_COUNT, SEARCHER_COUNT)
            )
            for n in ("gen-1", "gen-2", "gen-3")
        ]
        # Searchers that may not receive sub-requests.
        self.unusable_searchers: set[str] = set()
        self.missing_copies: set[tuple[str, str]] = set()
        latencies = routing.SearcherLatencies()
        self.chooser = routing.ReplicaChooser(
            latencies,
            lambda name: 0,
            lambda name, now: name not in self.unusable_searchers,
            lambda name: False,
            rng,
        )
        self.snapshot_chooser = routing.SnapshotChooser(self.chooser)
        self.snapshot_chooser.set_snapshots(self.snapshots[:2])
        self.budget = routing.HedgeRetryBudget(0.02)
        self.attempt_numbers = itertools.count(1)

    def shard_answer(self, snapshot: str, shard: str) -> messages.ShardAnswer:
        index = next(s for s in self.snapshots if s.name == snapshot)
        records = next(
            s.records
            for group in index.groups
            for s in group.shards
            if s.name == shard
        )
        scores = sorted(
            ((records * k) % 5 + 1.0 for k in range(4)), reverse=True
        )
        ids = [f"{snapshot}/{shard}/{k}" for k in range(4)]
        return messages.ShardAnswer(shard, records, scores, ids)

    def change_randomly(self) -> None:
        """Changes usable searchers, copies and declared snapshots at random."""
        names = [f"desk-{number}" for number in range(SEARCHER_COUNT)]
        self.unusable_searchers = {n for n in names if self.rng.random() < 0.1}
        self.missing_copies = {
            (n, s.name)
            for n in names
            for s in self.snapshots
            if self.rng.random() < 0.15
        }
        declared_snapshots = self.rng.choice(
            (self.snapshots[:2], self.snapshots[1:])
        )
        self.snapshot_chooser.set_snapshots(declared_snapshots)


class Results:
    def __init__(self):
        self.answers = 0
        self.partial = 0
        self.refusals = 0
        self.problems: list[str] = []


def run_query(backend: SimulatedBackend, results: Results) -> None:
    """Runs one query to its end and checks its answer."""
    rng = backend.rng
    latency = rng.choice((0, 100))
    contract = samples.contract(latency_ms=latency, max_shards=SHARD_COUNT)
    shards = rng.choice(([], ["s0"], ["s1", "s4", "s8"]))
    request = messages.SearchRequest(
        messages.RequestId("s", 1),
        "desk",
        "q",
        rng.choice((0, 3, 10)),
        shards,
        backend.now + DEADLINE_MS,
    )
    query = routing.Query(
        request,
        contract,
        backend.chooser,
        backend.snapshot_chooser,
        backend.budget,
        10,
        backend.attempt_numbers,
    )
    pending: collections.deque = collections.deque()
    _queue_answers(backend, query, query.start(backend.now).unwrap(), pending)
    while not query.is_done and backend.now < query.answer_due_at:
        backend.now += rng.choice((0, 1, 5, 20))
        if rng.random() < 0.02:
            backend.change_randomly()
        if backend.now >= query.next_timer_at():
            _queue_answers(backend, query, query.on_timer(backend.now), pending)
        if pending:
            answer = pending[rng.randrange(len(pending))]
            if rng.random() < 0.9:
                # One sub-answer in ten stays pending and is delivered again.
                pending.remove(answer)
            sub_requests = query.on_answer(answer, backend.now)
            _queue_answers(backend, query, sub_requests, pending)
        query.drain_cancelled()
    query.cancel_all()
    for answer in pending:
        assert query.on_answer(answer, backend.now) == []
    _check_answer(backend, query, request, contract, results)


def _queue_answers(
    backend: SimulatedBackend, query, sub_requests, pending
) -> None:
    rng = backend.rng
    for sub_request in sub_requests:
        snapshot = query.snapshot_name
        roll = rng.random()
        if (sub_request.searcher, snapshot) in backend.missing_copies:
            answer = messages.SubAnswer(
                sub_request.attempt, OUTCOME.SNAPSHOT_MISSING
            )
        elif roll < 0.05:
            outcome = rng.choice((OUTCOME.SHED, OUTCOME.FAILED, OUTCOME.UNSENT))
            answer = messages.SubAnswer(sub_request.attempt, outcome)
        elif roll < 0.08:
            continue
        else:
            answer = _make_answer(backend, sub_request, snapshot)
        pending.append(answer)
        if rng.random() < 0.05:
            pending.append(answer)
        if rng.random() < 0.05:
            unmatched = _make_answer(backend, sub_request, snapshot)
            unmatched.attempt = sub_request.attempt + 1_000_000
            pending.append(unmatched)


def _make_answer(
    backend: SimulatedBackend, sub_request, snapshot: str
) -> messages.SubAnswer:
    # Wrong in 8% of the cases: another snapshot, a shard too few or too many,
    # or another record count.
    rng = backend.rng
    roll = rng.random()
    shards = list(sub_request.shards)
    answered_snapshot = snapshot
    if roll < 0.02:
        answered_snapshot = "gen-1" if snapshot != "gen-1" else "gen-2"
    elif roll < 0.04 and len(shards) > 1:
        shards.pop()
    elif roll < 0.06:
        shards.append("s3")
    answers = [backend.shard_answer(answered_snapshot, name) for name in shards]
    if 0.06 <= roll < 0.08:
        answers[0].records -= 1
    return messages.SubAnswer(
        sub_request.attempt, OUTCOME.ANSWERED, answered_snapshot, answers
    )


def _check_answer(
    backend: SimulatedBackend, query, request, contract, results: Results
) -> None:
    outcome = query.finish()
    if outcome.is_err():
        results.refusals += 1
        return
    answer = outcome.unwrap()
    results.answers += 1
    coverage = answer.coverage
    results.partial += bool(coverage.missing)
    index = next(s for s in backend.snapshots if s.name == answer.snapshot)
    records = {
        s.name: s.records for group in index.groups for s in group.shards
    }
    wanted_shards = set(request.shards) or set(records)
    answered_shards = wanted_shards - set(coverage.missing)
    expected = messages.Coverage(
        len(answered_shards),
        len(wanted_shards),
        sum(records[name] for name in answered_shards),
        sum(records[name] for name in wanted_shards),
        sorted(wanted_shards - answered_shards),
    )
    shard_answers = [
        backend.shard_answer(index.name, name) for name in answered_shards
    ]
    top = request.top or contract.max_results
    best_hits = merging.merge_hits(shard_answers, 0)
    if coverage != expected:
        results.problems.append(f"coverage {coverage} and not {expected}")
    if answer.hits != best_hits[:top]:
        results.problems.append(f"hits differ from a scan of {answer.snapshot}")


def run_queries(queries: int, seed: int) -> Results:
    backend = SimulatedBackend(random.Random(seed))
    results = Results()
    for _ in range(queries):
        run_query(backend, results)
        backend.now += backend.rng.choice((1, 50, 1500))
    return results


@click.command()
@click.option("--queries", type=int, default=100_000)
@click.option("--seed", type=int, default=7)
def main(queries: int, seed: int) -> None:
    results = run_queries(queries, seed)
    print(
        f"queries {queries}, answers {results.answers}, partial"
        f" {results.partial}, refusals {results.refusals}, wrong"
        f" {len(results.problems)}"
    )
    for problem in results.problems[:5]:
        print(problem)
    sys.exit(1 if results.problems else 0)


if __name__ == "__main__":
    main()
