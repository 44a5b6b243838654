"""Open-loop load on a running deployment.

Searches are sent at random times that don't depend on earlier answers. Latency
is measured from the scheduled time, so a delay of the generator counts too.
"""

import asyncio
import collections
import random
import time

from hdrh import histogram

from citrondoor.standins import client
from citrondoor.standins import data
from citrondoor.standins import verify

# The histogram records microseconds from 1 us to 2 minutes; longer latencies
# are recorded as 2 minutes.
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000


class LoadPlan:
    """Searches that one customer sends.

    Args:
      customer: Name of the customer.
      key: Key of the customer.
      backend: Name of the search back end.
      rate_per_s: Mean rate of searches; arrivals are a Poisson process.
      deadline_ms: Deadline of each attempt.
      total_timeout_ms: An attempt that fails after this time isn't retried; 0
        sends each search once.
      entry: URL of the only entry to use; empty uses those that the daemons
        list for the caller.
      top: Maximum number of hits; 0 lists all.
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
    """Results of one customer's searches.

    Attributes:
      histogram: Latencies of answered searches, in us.
      offered: Searches that were sent.
      answered: Searches with status 200.
      records_answered: Records that the answers covered.
      records_total: Records that the answers would have covered if they missed
        no shard; searches without an answer are left out.
      wrong: Answers that the verifier found wrong.
      outcomes: Number of searches by outcome: `answered`, the kind of the
        refusal, or `no answer`.
      samples: Unix time in s and latency in ms of each answer, for plots.
    """

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
        self.histogram = histogram.HdrHistogram(
            1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self.offered = 0
        self.answered = 0
        self.records_answered = 0
        self.records_total = 0
        self.wrong = 0
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.samples: list[tuple[float, float]] = []

    def percentile_ms(self, percentile: float) -> float:
        """Returns a latency percentile in milliseconds."""
        return self.histogram.get_value_at_percentile(percentile) / US_PER_MS

    @property
    def coverage_share(self) -> float:
        """Share of the records that the answers covered.

        Searches without an answer are left out.
        """
        return self.records_answered / max(1, self.records_total)

    @property
    def lost(self) -> int:
        """Searches that got neither an answer nor a refusal with a kind."""
        return self.outcomes["no answer"]


class Load:
    """Sends the searches of several customers at once.

    Args:
      seeds: URLs of entries that the list of entries is requested from.
      plans: One plan for each customer.
      seed: Seed of the arrival times and queries.
      verifier: Checks the answers; None checks none.
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
        """Sends searches for `seconds` and waits for the last answers.

        Returns:
          The results by customer. Each call starts with new results.
        """
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
        started_at = time.monotonic()
        due_at = started_at
        tasks = set()
        while due_at - started_at < seconds:
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            search = self._send_one(plan, caller, rng, due_at)
            task = asyncio.create_task(search)
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due_at += rng.expovariate(plan.rate_per_s)
        if tasks:
            await asyncio.wait(list(tasks))
        await caller.close()

    async def _send_one(
        self,
        plan: LoadPlan,
        caller: client.Caller,
        rng: random.Random,
        due_at: float,
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
        latency_us = (time.monotonic() - due_at) * 1_000_000
        kind = outcome.content.get("refused", "no answer")
        result.outcomes["answered" if outcome.status == 200 else kind] += 1
        if outcome.status != 200:
            return
        result.answered += 1
        result.histogram.record_value(min(MAX_LATENCY_US, int(latency_us)))
        result.samples.append((time.time(), latency_us / US_PER_MS))
        coverage = outcome.content["coverage"]
        result.records_answered += coverage["records_answered"]
        result.records_total += coverage["records_total"]
        if self._verifier is not None:
            problem = self._verifier.check(
                plan.backend, query, plan.top, outcome.content
            )
            result.wrong += problem is not None
