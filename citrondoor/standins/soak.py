"""Soak test of real processes under random load and overlapping faults.

Callers compare every answer with a direct scan of the records. At the end, the
counts of the daemons are compared with the receipts of the callers, and the
results of runs with what the searchers executed.
"""

import asyncio
import collections
import pathlib
import random
import sys
import time

import orjson
import yaml

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor.standins import client
from citrondoor.standins import data
from citrondoor.standins import faults
from citrondoor.standins import local_deployment
from citrondoor.standins import verify

# Callers retry under the same id for this long.
TOTAL_TIMEOUT_MS = 90_000
# Wait after the load, before requests not confirmed as counted are sent again
# and the counts are compared.
SETTLE_S = 6.0
# Mean rates of each caller; every customer has two callers.
SEARCHES_PER_S = 12.0
RUNS_PER_S = 2.0


class SoakReport:
    """Results of a soak test.

    Args:
      seed: Seed of the test.

    Attributes:
      answers: Searches that were answered.
      counted: Requests that the daemons counted, by customer.
      faults: Number of faults, by name.
      latencies_ms: Latencies of answered searches, in ms.
      outcomes: Number of requests by outcome: `answered`, the kind of the
        refusal, or `no answer`.
      partial: Answers that miss shards.
      problems: Descriptions of violated guarantees, failed faults, daemons that
        exited and missing counts.
      receipts: Requests whose receipt says that they were counted, by customer.
      repeated_runs: Runs that were executed more than once.
      run_outcomes: Outcome of each run by its last request id: `answered`,
        `ran no` when the refusal says that it wasn't executed, or `ran
        unknown`, also without a response.
      runs_answered: Runs that were answered.
      unresolved: Requests without a receipt that says they were counted, by
        customer; those that get one when they are sent again are taken off.
    """

    __slots__ = (
        "answers",
        "counted",
        "faults",
        "latencies_ms",
        "outcomes",
        "partial",
        "problems",
        "receipts",
        "repeated_runs",
        "run_outcomes",
        "runs_answered",
        "seed",
        "unresolved",
    )

    def __init__(self, seed: int):
        self.seed = seed
        self.answers = 0
        self.partial = 0
        self.receipts: collections.Counter[str] = collections.Counter()
        self.counted: dict[str, int] = {}
        self.unresolved: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.run_outcomes: dict[str, str] = {}
        self.runs_answered = 0
        self.repeated_runs = 0
        self.faults: collections.Counter[str] = collections.Counter()
        self.latencies_ms: list[float] = []
        self.problems: list[str] = []

    def content(self) -> dict:
        """Returns the report as content of a JSON object."""
        sorted_ms = sorted(self.latencies_ms) or [0.0]
        return {
            "seed": self.seed,
            "answers": self.answers,
            "partial_answers": self.partial,
            "receipts": dict(self.receipts),
            "counted": self.counted,
            "unresolved": dict(self.unresolved),
            "outcomes": dict(self.outcomes),
            "runs_answered": self.runs_answered,
            "repeated_runs": self.repeated_runs,
            "faults": dict(self.faults),
            "p50_ms": sorted_ms[len(sorted_ms) // 2],
            "p99_ms": sorted_ms[len(sorted_ms) * 99 // 100],
            "problems": self.problems[:20],
            "problem_count": len(self.problems),
        }


class _UnresolvedRequest:
    """A request not confirmed as counted, to be sent again at the end."""

    __slots__ = ("caller", "content", "customer", "path")

    def __init__(
        self, caller: client.Caller, customer: str, path: str, content: dict
    ):
        self.caller = caller
        self.customer = customer
        self.path = path
        self.content = content


class Soak:
    """One soak test of a deployment.

    Args:
      directory: Directory of the deployment's declarations.
      seed: Seed of the load and the faults.
      minutes: Duration of the load.
      address: Loopback address on which everything listens.
      fault_names: Names of the faults to choose from; empty means all.
    """

    __slots__ = (
        "_contracts_text",
        "_deployment",
        "_directory",
        "_ends_at",
        "_faults",
        "_log",
        "_minutes",
        "_report",
        "_tasks",
        "_unresolved_requests",
        "_verifier",
    )

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        minutes: float,
        address: str,
        fault_names: tuple[str, ...] = (),
    ):
        self._directory = directory
        self._minutes = minutes
        self._unresolved_requests: list[_UnresolvedRequest] = []
        self._report = SoakReport(seed)
        command = [sys.executable, "-m", "citrondoor.standins.faulty_daemon"]
        self._deployment = local_deployment.LocalDeployment(
            directory, 1, daemon_command=command, address=address
        )
        catalogue = declared.Catalogue(declared.read_directory(directory))
        self._verifier = verify.Verifier(catalogue)
        self._tasks: set[asyncio.Task] = set()
        self._contracts_text = (
            directory / "contracts" / "customers.yaml"
        ).read_text()
        self._faults = faults.Faults(
            self._deployment,
            random.Random(seed),
            self._contracts_text,
            fault_names,
        )
        self._ends_at = 0.0

    def run(self) -> SoakReport:
        """Runs load and faults, compares the results and returns the report.

        Settings and logs of the processes are kept if there was a problem.
        """
        try:
            self._deployment.start()
            asyncio.run(self._run())
        finally:
            has_failed = bool(self._report.problems) or not self._report.counted
            self._deployment.stop(keep_files=has_failed)
            if has_failed:
                print(
                    f"logs are in {self._deployment.work_directory}",
                    file=sys.stderr,
                )
        return self._report

    async def _run(self) -> None:
        self._ends_at = time.monotonic() + self._minutes * 60
        callers = self._make_callers()
        load_tasks = [
            asyncio.create_task(self._send_load(caller, customer, backends))
            for caller, customer, backends in callers
        ]
        await self._faults.run(self._ends_at)
        await self._faults.finish()
        await asyncio.gather(*load_tasks)
        if self._tasks:
            await asyncio.wait(list(self._tasks))
        await asyncio.sleep(SETTLE_S)
        await self._resend_unresolved()
        self._compare_results()
        for caller, _, _ in callers:
            await caller.close()

    def _make_callers(self) -> list[tuple]:
        content = yaml.safe_load(self._contracts_text)
        seeds = [
            self._deployment.url_of(vm) for vm in self._deployment.vm_names
        ]
        keys = {
            "altan-sprinkler": "altan-demo-key",
            "gobi-fire-safety": "gobi-demo-key",
            "trade-buyers": "trade-demo-key",
            "shop-customers": "shop-demo-key",
        }
        callers = []
        for contract in content["contracts"]:
            customer = contract["customer"]
            for number in range(2):
                rng = random.Random(f"{self._report.seed}/{customer}{number}")
                caller = client.Caller(seeds, keys[customer], "", rng)
                callers.append((caller, customer, contract["backends"]))
        return callers

    async def _send_load(
        self, caller: client.Caller, customer: str, backends: list[str]
    ) -> None:
        catalogue = declared.Catalogue(declared.read_directory(self._directory))
        search_backends = [
            backend for backend in backends if backend in catalogue.snapshots
        ]
        run_backends = [
            backend
            for backend in backends
            if backend not in catalogue.snapshots
        ]
        rng = random.Random(f"{self._report.seed}/load/{customer}")
        requests_per_s = SEARCHES_PER_S + RUNS_PER_S
        while time.monotonic() < self._ends_at:
            await asyncio.sleep(rng.expovariate(requests_per_s))
            if rng.random() < RUNS_PER_S / requests_per_s:
                request = self._run_once(
                    caller, customer, rng.choice(run_backends)
                )
            else:
                request = self._search_once(
                    caller, customer, rng.choice(search_backends), rng
                )
            task = asyncio.create_task(request)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _search_once(
        self,
        caller: client.Caller,
        customer: str,
        backend: str,
        rng: random.Random,
    ) -> None:
        query = " ".join(rng.sample(data.WORDS, 2))
        top = rng.choice((0, 1, 10, 25))
        outcome = await caller.search(
            backend, query, 1500, top, total_timeout_ms=TOTAL_TIMEOUT_MS
        )
        if not outcome.is_counted:
            content = {"backend": backend, "query": query, "top": top}
            self._record_unresolved(
                caller, customer, "/v1/search", outcome, content
            )
        self._record_outcome(customer, outcome)
        if outcome.status != 200:
            return
        self._report.answers += 1
        self._report.latencies_ms.append(outcome.latency_ms)
        self._report.partial += bool(outcome.content["coverage"]["missing"])
        problem = self._verifier.check(backend, query, top, outcome.content)
        if outcome.content["id"] != outcome.request_id:
            problem = f"the answer has the id {outcome.content['id']!r}"
        if problem is not None:
            self._report.problems.append(f"{outcome.request_id}: {problem}")

    async def _run_once(
        self, caller: client.Caller, customer: str, backend: str
    ) -> None:
        outcome = await caller.run(
            backend, "notice", total_timeout_ms=TOTAL_TIMEOUT_MS
        )
        if not outcome.is_counted:
            content = {"backend": backend, "body": "notice"}
            self._record_unresolved(
                caller, customer, "/v1/run", outcome, content
            )
        self._record_outcome(customer, outcome)
        kind = "answered"
        if outcome.status != 200:
            kind = f"ran {outcome.content.get('ran', 'unknown')}"
        self._report.run_outcomes[outcome.request_id] = kind
        if outcome.content.get("refused") == "arbiter_gone":
            await caller.renew_session()

    def _record_unresolved(
        self,
        caller: client.Caller,
        customer: str,
        path: str,
        outcome: client.Outcome,
        content: dict,
    ) -> None:
        request = {"id": outcome.request_id, "deadline_ms": 2000, **content}
        self._unresolved_requests.append(
            _UnresolvedRequest(caller, customer, path, request)
        )

    async def _resend_unresolved(self) -> None:
        """Sends requests not confirmed as counted again, under their ids."""
        for request in self._unresolved_requests:
            outcome = await request.caller.resend(request.path, request.content)
            if outcome.is_counted:
                self._report.receipts[request.customer] += 1
                self._report.unresolved[request.customer] -= 1

    def _record_outcome(self, customer: str, outcome: client.Outcome) -> None:
        kind = outcome.content.get("refused", "no answer")
        if outcome.status == 200:
            kind = "answered"
        self._report.outcomes[kind] += 1
        if outcome.is_counted:
            self._report.receipts[customer] += 1
        else:
            self._report.unresolved[customer] += 1

    def _compare_results(self) -> None:
        report = self._report
        report.faults = self._faults.counts
        report.problems += self._faults.problems
        for vm in self._deployment.vm_names:
            if self._deployment.daemons[vm].poll() is not None:
                report.problems.append(
                    f"the daemon of {vm} exited; see its log"
                )
        month = clocks.month_of(clocks.Clock().unix_ms())
        counts = self._deployment.get_from_daemon(
            self._deployment.vm_names[0], f"/v1/counts?month={month}"
        )
        report.counted = counts["customers"]
        if not counts["complete"]:
            report.problems.append(f"counts of {counts['unheard']} are missing")
        for customer, receipts in report.receipts.items():
            counted = report.counted.get(customer, 0)
            if counted != receipts:
                report.problems.append(
                    f"{customer}: counted {counted}, receipts {receipts},"
                    f" unresolved {report.unresolved[customer]}"
                )
        self._compare_runs()

    def _compare_runs(self) -> None:
        report = self._report
        executed: collections.Counter[str] = collections.Counter()
        for counters in self._deployment.searcher_counters().values():
            executed.update(counters["runs"])
        for request_id, run_count in executed.items():
            if run_count > 1:
                report.repeated_runs += 1
                report.problems.append(f"{request_id} ran {run_count} times")
        for request_id, kind in report.run_outcomes.items():
            run_count = executed[request_id]
            if kind == "answered":
                report.runs_answered += 1
                if run_count != 1:
                    report.problems.append(
                        f"{request_id} was answered but ran {run_count} times"
                    )
            if kind == "ran no" and run_count:
                report.problems.append(
                    f"{request_id} was refused as not run but ran"
                )


def print_event(event: dict) -> None:
    """Prints an event as one line of JSON."""
    print(orjson.dumps(event).decode(), flush=True)
