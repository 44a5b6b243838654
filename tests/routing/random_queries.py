"""Random queries against a small world that reorders, repeats and lies.

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
SEARCHERS = 6
SHARDS = 9
DEADLINE_MS = 400


class World:
    """Searchers that hold snapshots, some of them not, some wrongly."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.now = 0
        self.snapshots = [
            declared.SnapshotIndex(samples.snapshot(n, SHARDS, SEARCHERS))
            for n in ("gen-1", "gen-2", "gen-3")
        ]
        self.out: set[str] = set()
        self.lacking: set[tuple[str, str]] = set()
        latencies = routing.SearcherLatencies()
        self.chooser = routing.ReplicaChooser(
            latencies,
            lambda name: 0,
            lambda name, now: name not in self.out,
            lambda name: False,
            rng,
        )
        self.choice = routing.SnapshotChooser(self.chooser)
        self.choice.set_snapshots(self.snapshots[:2])
        self.budget = routing.HedgeRetryBudget(0.02)
        self.numbers = itertools.count(1)

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

    def change(self) -> None:
        """Publishes, removes, loses and finds things."""
        names = [f"desk-{number}" for number in range(SEARCHERS)]
        self.out = {n for n in names if self.rng.random() < 0.1}
        self.lacking = {
            (n, s.name)
            for n in names
            for s in self.snapshots
            if self.rng.random() < 0.15
        }
        shown = self.rng.choice((self.snapshots[:2], self.snapshots[1:]))
        self.choice.set_snapshots(shown)


class Tally:
    def __init__(self):
        self.answers = 0
        self.partial = 0
        self.refusals = 0
        self.problems: list[str] = []


def play(world: World, tally: Tally) -> None:
    """Plays one query to its end and checks what it answers."""
    rng = world.rng
    latency = rng.choice((0, 100))
    contract = samples.contract(latency_ms=latency, max_shards=SHARDS)
    shards = rng.choice(([], ["s0"], ["s1", "s4", "s8"]))
    request = messages.SearchRequest(
        messages.RequestId("s", 1),
        "desk",
        "q",
        rng.choice((0, 3, 10)),
        shards,
        world.now + DEADLINE_MS,
    )
    query = routing.Query(
        request,
        contract,
        world.chooser,
        world.choice,
        world.budget,
        10,
        world.numbers,
    )
    pending: collections.deque = collections.deque()
    _post(world, query, query.start(world.now).unwrap(), pending)
    while not query.is_done and world.now < query.answer_due_at:
        world.now += rng.choice((0, 1, 5, 20))
        if rng.random() < 0.02:
            world.change()
        if world.now >= query.next_timer_at():
            _post(world, query, query.on_timer(world.now), pending)
        if pending:
            answer = pending[rng.randrange(len(pending))]
            if rng.random() < 0.9:
                # One in ten is delivered again later.
                pending.remove(answer)
            more = query.on_answer(answer, world.now)
            _post(world, query, more, pending)
        query.drain_cancelled()
    query.cancel_all()
    for answer in pending:
        assert query.on_answer(answer, world.now) == []
    _check(world, query, request, contract, tally)


def _post(world: World, query, sub_requests, pending) -> None:
    rng = world.rng
    for sub in sub_requests:
        snapshot = query.snapshot_name
        roll = rng.random()
        if (sub.searcher, snapshot) in world.lacking:
            answer = messages.SubAnswer(sub.attempt, OUTCOME.SNAPSHOT_MISSING)
        elif roll < 0.05:
            outcome = rng.choice((OUTCOME.SHED, OUTCOME.FAILED, OUTCOME.UNSENT))
            answer = messages.SubAnswer(sub.attempt, outcome)
        elif roll < 0.08:
            continue
        else:
            answer = _answer(world, sub, snapshot)
        pending.append(answer)
        if rng.random() < 0.05:
            pending.append(answer)
        if rng.random() < 0.05:
            foreign = _answer(world, sub, snapshot)
            foreign.attempt = sub.attempt + 1_000_000
            pending.append(foreign)


def _answer(world: World, sub, snapshot: str) -> messages.SubAnswer:
    rng = world.rng
    roll = rng.random()
    shards = list(sub.shards)
    shown = snapshot
    if roll < 0.02:
        shown = "gen-1" if snapshot != "gen-1" else "gen-2"
    elif roll < 0.04 and len(shards) > 1:
        shards.pop()
    elif roll < 0.06:
        shards.append("s3")
    answers = [world.shard_answer(shown, name) for name in shards]
    if 0.06 <= roll < 0.08:
        answers[0].records -= 1
    return messages.SubAnswer(sub.attempt, OUTCOME.ANSWERED, shown, answers)


def _check(world: World, query, request, contract, tally: Tally) -> None:
    outcome = query.finish()
    if outcome.is_err():
        tally.refusals += 1
        return
    answer = outcome.unwrap()
    tally.answers += 1
    coverage = answer.coverage
    tally.partial += bool(coverage.missing)
    index = next(s for s in world.snapshots if s.name == answer.snapshot)
    records = {
        s.name: s.records for group in index.groups for s in group.shards
    }
    wanted = set(request.shards) or set(records)
    answered = wanted - set(coverage.missing)
    expected = messages.Coverage(
        len(answered),
        len(wanted),
        sum(records[name] for name in answered),
        sum(records[name] for name in wanted),
        sorted(wanted - answered),
    )
    scanned = [world.shard_answer(index.name, name) for name in answered]
    top = request.top or contract.max_results
    best = merging.merge_hits(scanned, 0)
    if coverage != expected:
        tally.problems.append(f"coverage {coverage} and not {expected}")
    if answer.hits != best[:top]:
        tally.problems.append(f"hits differ from a scan of {answer.snapshot}")


def play_many(queries: int, seed: int) -> Tally:
    world = World(random.Random(seed))
    tally = Tally()
    for _ in range(queries):
        play(world, tally)
        world.now += world.rng.choice((1, 50, 1500))
    return tally


@click.command()
@click.option("--queries", type=int, default=100_000)
@click.option("--seed", type=int, default=7)
def main(queries: int, seed: int) -> None:
    tally = play_many(queries, seed)
    print(
        f"queries {queries}, answers {tally.answers}, partial"
        f" {tally.partial}, refusals {tally.refusals}, wrong"
        f" {len(tally.problems)}"
    )
    for problem in tally.problems[:5]:
        print(problem)
    sys.exit(1 if tally.problems else 0)


if __name__ == "__main__":
    main()
