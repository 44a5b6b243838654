"""Open-loop load on a running deployment, measured from the intended start."""

import asyncio
import collections
import random
import time

from hdrh import histogram

from citrondoor.standins import client
from citrondoor.standins import data
from citrondoor.standins import verify

# The histogram holds microseconds from 1 us to 2 minutes, three digits.
LONGEST_US = 120_000_000
DIGITS = 3
US_PER_MS = 1000


class LoadPlan:
    """What one customer sends.

    Args:
      customer: Name of the customer.
      key: Its key.
      backend: Search back end.
      rate_per_s: Searches a second.
      deadline_ms: Deadline of each attempt.
      total_timeout_ms: Time for all attempts; 0 sends each search once.
      entry: URL of the one entry to use; empty lets the fleet choose.
      top: Hits wanted.
    """

    __slots__ = (
        "backend",
        "customer",
        "deadline_ms",
        "entry",
        "key",
        "rate_per_s",
        "top",
        "total_timeout_ms",
    )

    def __init__(
        self,
        customer: str,
        key: str,
        backend: str,
        rate_per_s: float,
        deadline_ms: int = 2000,
        total_timeout_ms: int = 0,
        entry: str = "",
        top: int = 10,
    ):
        self.customer = customer
        self.key = key
        self.backend = backend
        self.rate_per_s = rate_per_s
        self.deadline_ms = deadline_ms
        self.total_timeout_ms = total_timeout_ms
        self.entry = entry
        self.top = top


class LoadResult:
    """What one customer got."""

    __slots__ = (
        "answered",
        "histogram",
        "offered",
        "outcomes",
        "records_answered",
        "records_total",
        "samples",
        "wrong",
    )

    def __init__(self):
        self.histogram = histogram.HdrHistogram(1, LONGEST_US, DIGITS)
        self.offered = 0
        self.answered = 0
        self.records_answered = 0
        self.records_total = 0
        self.wrong = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        # Wall second and latency in ms of each answer, for a time line.
        self.samples: list[tuple[float, float]] = []

    def percentile_ms(self, percentile: float) -> float:
        """Returns a latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / US_PER_MS

    @property
    def coverage_share(self) -> float:
        """Records answered of those asked for, over all answers."""
        return self.records_answered / max(1, self.records_total)

    @property
    def lost(self) -> int:
        """Searches that got no answer and no refusal that says why."""
        return self.outcomes["no answer"]


class Load:
    """Sends the searches of several customers at once.

    Args:
      seeds: URLs of entries.
      plans: What each customer sends.
      seed: Seed of arrivals and queries.
      verifier: Checks answers; None checks nothing.
    """

    __slots__ = ("_plans", "_seed", "_seeds", "_tasks", "_verifier", "results")

    def __init__(
        self,
        seeds: list[str],
        plans: list[LoadPlan],
        seed: int,
        verifier: verify.Verifier | None = None,
    ):
        self._seeds = seeds
        self._plans = plans
        self._seed = seed
        self._verifier = verifier
        self._tasks: set[asyncio.Task] = set()
        self.results = {plan.customer: LoadResult() for plan in plans}

    async def run(self, seconds: float) -> dict[str, LoadResult]:
        """Sends for some seconds and waits for the last answers."""
        for plan in self._plans:
            self.results[plan.customer] = LoadResult()
        await asyncio.gather(
            *(self._send_all(plan, seconds) for plan in self._plans)
        )
        return self.results

    async def _send_all(self, plan: LoadPlan, seconds: float) -> None:
        rng = random.Random(f"{self._seed}/{plan.customer}")
        caller = client.Caller(self._seeds, plan.key, "", rng)
        await caller.entries()
        started = time.monotonic()
        due = started
        tasks = set()
        while due - started < seconds:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            work = self._send_one(plan, caller, rng, due)
            task = asyncio.create_task(work)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += rng.expovariate(plan.rate_per_s)
        if tasks:
            await asyncio.wait(list(tasks))
        await caller.close()

    async def _send_one(
        self,
        plan: LoadPlan,
        caller: client.Caller,
        rng: random.Random,
        due: float,
    ) -> None:
        result = self.results[plan.customer]
        result.offered += 1
        query = " ".join(rng.sample(data.WORDS, 2))
        outcome = await caller.search(
            plan.backend,
            query,
            plan.deadline_ms,
            plan.top,
            plan.total_timeout_ms,
            plan.entry,
        )
        latency_us = (time.monotonic() - due) * 1_000_000
        kind = outcome.content.get("refused", "no answer")
        result.outcomes["answered" if outcome.status == 200 else kind] += 1
        if outcome.status != 200:
            return
        result.answered += 1
        result.histogram.record_value(min(LONGEST_US, int(latency_us)))
        result.samples.append((time.time(), latency_us / US_PER_MS))
        coverage = outcome.content["coverage"]
        result.records_answered += coverage["records_answered"]
        result.records_total += coverage["records_total"]
        if self._verifier is not None:
            problem = self._verifier.check(
                plan.backend, query, plan.top, outcome.content
            )
            result.wrong += problem is not None
