"""Demonstrates the deployment mn-central on the loopback interface.

Two customers send searches while a zone is taken out of service and back in.
Each answer is compared with a direct scan of the data. With `--keep`, the
deployment only starts, and runs until it is interrupted.
"""

import asyncio
import pathlib
import random
import sys
import time

import click

from citrondoor import clock as clocks
from citrondoor import declarations as declared
from citrondoor.standins import client
from citrondoor.standins import local_deployment
from citrondoor.standins import verify

DIRECTORY = pathlib.Path(__file__).parent / "mn-central"
ZONE = "darkhan"
CUSTOMERS = {
    "altan-sprinkler": "altan-demo-key",
    "gobi-fire-safety": "gobi-demo-key",
}
BACKEND = "inspect-search"
RUN_BACKEND = "notice-mail"
SEARCHES_PER_PHASE = 8
ROUND_INTERVAL_S = 0.1
# Time for a configuration change to reach all daemons.
PROPAGATION_S = 1.5


class Demonstration:
    """Sends requests, checks the answers and prints a summary.

    Args:
      deployment: The running deployment.

    Attributes:
      problems: Descriptions of wrong answers and counts.
    """

    __slots__ = ("_deployment", "_receipts", "_verifier", "problems")

    def __init__(self, deployment: local_deployment.LocalDeployment):
        self._deployment = deployment
        catalogue = declared.Catalogue(declared.read_directory(DIRECTORY))
        self._verifier = verify.Verifier(catalogue)
        self._receipts = dict.fromkeys(CUSTOMERS, 0)
        self.problems: list[str] = []

    async def run(self) -> None:
        """Runs all phases."""
        seeds = [
            self._deployment.url_of(vm) for vm in self._deployment.vm_names
        ]
        callers = {
            customer: client.Caller(seeds, key, "darkhan", random.Random(1))
            for customer, key in CUSTOMERS.items()
        }
        first_caller = next(iter(callers.values()))
        print("entry daemons:", ", ".join(await first_caller.entries()))
        await self._phase("all zones in service", callers)
        revision = self._deployment.publish_zone(ZONE, "out")
        print(f"\noperators take {ZONE} out of service (revision {revision})")
        await asyncio.sleep(PROPAGATION_S)
        await self._phase(f"{ZONE} out of service", callers)
        await self._run_once(first_caller)
        revision = self._deployment.publish_zone(ZONE, "in")
        print(f"\noperators put {ZONE} back in service (revision {revision})")
        await asyncio.sleep(PROPAGATION_S)
        await self._phase(f"{ZONE} back in service", callers)
        for caller in callers.values():
            await caller.close()

    def compare_counts(self) -> None:
        """Prints the counted requests and compares them with the receipts."""
        month = clocks.month_of(clocks.Clock().unix_ms())
        path = f"/v1/counts?month={month}"
        counts = self._deployment.get_from_daemon(
            self._deployment.vm_names[0], path
        )
        print(f"\ncounts of {month}, complete: {counts['complete']}")
        for customer, receipts in self._receipts.items():
            counted = counts["customers"].get(customer, 0)
            print(f"  {customer}: counted {counted}, receipts {receipts}")
            if counted != receipts:
                self.problems.append(f"{customer}: counts and receipts differ")

    def print_timeline(self) -> None:
        """Prints all daemons' events, except of links, members and views."""
        events = []
        for vm in self._deployment.vm_names:
            events += self._deployment.get_from_daemon(vm, "/v1/timeline")[
                "events"
            ]
        print("\ntime line of all daemons")
        for event in sorted(
            events, key=lambda event: (event["wall_ms"], event["vm"])
        ):
            if event["kind"].startswith(("link", "member", "view")):
                continue
            time_of_day = time.strftime(
                "%H:%M:%S", time.gmtime(event["wall_ms"] / clocks.MS_PER_S)
            )
            print(
                f"  {time_of_day}.{event['wall_ms'] % 1000:03d} {event['vm']}"
                f" {event['kind']}: {event['detail'][:90]}"
            )

    async def _phase(self, title: str, callers: dict) -> None:
        print(f"\n{title}")
        for number in range(SEARCHES_PER_PHASE):
            for customer, caller in callers.items():
                is_shown = number == SEARCHES_PER_PHASE - 1
                await self._search(customer, caller, is_shown)
            await asyncio.sleep(ROUND_INTERVAL_S)

    async def _search(
        self, customer: str, caller: client.Caller, is_shown: bool
    ) -> None:
        query = "corroded valve"
        outcome = await caller.search(BACKEND, query, top=3)
        self._receipts[customer] += outcome.is_counted
        if outcome.status != 200:
            self.problems.append(f"{customer}: {outcome.content}")
            return
        answer = outcome.content
        problem = self._verifier.check(BACKEND, query, 3, answer)
        if problem is not None:
            self.problems.append(f"{customer}: {problem}")
        if is_shown:
            coverage = answer["coverage"]
            hits = ", ".join(hit["record"] for hit in answer["hits"])
            print(
                f"  {customer}: {hits}; snapshot {answer['snapshot']}, shards"
                f" {coverage['shards_answered']}/{coverage['shards_total']},"
                f" records {coverage['records_answered']}/"
                f"{coverage['records_total']}, {outcome.latency_ms:.0f} ms"
            )

    async def _run_once(self, caller: client.Caller) -> None:
        outcome = await caller.run(RUN_BACKEND, "riser 7 has no pressure")
        self._receipts["altan-sprinkler"] += outcome.is_counted
        print(f"  run: {outcome.content.get('result', outcome.content)}")
        if outcome.status != 200:
            self.problems.append(f"run: {outcome.content}")


@click.command()
@click.option(
    "--keep",
    is_flag=True,
    help="Only start the deployment, and run until interrupted.",
)
def main(keep: bool) -> None:
    """Runs the demonstration; exits with 1 if an answer or count was wrong."""
    deployment = local_deployment.LocalDeployment(DIRECTORY)
    try:
        deployment.start()
        if keep:
            _run_until_interrupted(deployment)
            return
        demonstration = Demonstration(deployment)
        asyncio.run(demonstration.run())
        demonstration.compare_counts()
        demonstration.print_timeline()
        for problem in demonstration.problems:
            print(f"PROBLEM {problem}")
        if not demonstration.problems:
            print("\nanswers equal a direct scan, counts equal the receipts")
    finally:
        deployment.stop()
    sys.exit(1 if demonstration.problems else 0)


def _run_until_interrupted(
    deployment: local_deployment.LocalDeployment,
) -> None:
    url = deployment.url_of(deployment.vm_names[0])
    print(f"curl '{url}/v1/entries'")
    print(
        f"curl -H 'Authorization: Bearer altan-demo-key' -d '{{\"id\":"
        f' "SESSION.1", "backend": "{BACKEND}", "query": "valve'
        f" pump\"}}' {url}/v1/search"
    )
    print(
        f"curl -H 'Authorization: Bearer {local_deployment.OPERATOR_KEY}'"
        f" {url}/v1/status"
    )
    print("interrupt to stop")
    try:
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        print("stopping")


if __name__ == "__main__":
    main()
