"""Cold searchers under load.

First a whole back end turns cold at once without warning; then a zone is taken
out, turns cold, and comes back. `requests_over_capacity` counts what searchers
got beyond what they bore, in both cases together. `ramp_over_shortest` compares
the time until all are warm with the time in which the offered load brings each
of them the answers that the stand-in needs; the worse case counts.
"""

import asyncio
import time

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor import declarations as declared
from citrondoor.standins import load
from citrondoor.standins import local_deployment

RATE_PER_S = 100.0
SECONDS = 10.0
POLL_S = 0.05
ANSWERS_PER_SLOT = 10
LIMIT_S = 9.0
ZONE_OUT_S = 2.0


async def _wait_warm(
    deployment: local_deployment.LocalDeployment, names: set[str]
) -> float:
    started = time.monotonic()
    while time.monotonic() - started < LIMIT_S:
        seen = await asyncio.to_thread(deployment.searcher_counters)
        if not any(seen[name]["is_cold"] for name in names):
            break
        await asyncio.sleep(POLL_S)
    return time.monotonic() - started


def _beyond(deployment: local_deployment.LocalDeployment) -> int:
    seen = deployment.searcher_counters().values()
    return sum(tally["beyond_cold_capacity"] for tally in seen)


async def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
) -> dict[str, float]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    backend = catalogue.backends[workload.backend]
    names = {searcher.name for searcher in backend.searchers}
    groups = catalogue.snapshots[workload.backend][-1].groups
    plan = workload.plan(RATE_PER_S, total_timeout_ms=5000)
    sender = load.Load(_deployments.entry_urls(deployment), [plan], seed)
    steady = (await sender.run(SECONDS / 2))[plan.customer]
    steady_p99 = steady.percentile_ms(99)
    # Each searcher gets this share of the sub-requests of each query.
    per_s = RATE_PER_S * len(groups) / len(names)
    shortest_s = ANSWERS_PER_SLOT * (backend.slots - 1) / per_s
    moving = asyncio.create_task(sender.run(SECONDS * 2))
    await asyncio.sleep(1.0)
    before = _beyond(deployment)
    await asyncio.to_thread(_turn_cold, deployment, names)
    unannounced_s = await _wait_warm(deployment, names)
    between = _beyond(deployment)
    zone = backend.searchers[0].zone
    in_zone = {s.name for s in backend.searchers if s.zone == zone}
    await asyncio.to_thread(deployment.publish_zone, zone, "out")
    await asyncio.sleep(ZONE_OUT_S)
    await asyncio.to_thread(_turn_cold, deployment, in_zone)
    await asyncio.to_thread(deployment.publish_zone, zone, "in")
    returned_s = await _wait_warm(deployment, in_zone)
    result = (await moving)[plan.customer]
    after = _beyond(deployment)
    return {
        "requests_over_capacity": after - before,
        "requests_over_capacity_unannounced": between - before,
        "requests_over_capacity_zone_return": after - between,
        "ramp_over_shortest": max(unannounced_s, returned_s) / shortest_s,
        "ramp_unannounced_s": unannounced_s,
        "ramp_zone_return_s": returned_s,
        "shortest_ramp_s": shortest_s,
        "coverage_share": result.coverage_share,
        "p99_over_steady": result.percentile_ms(99) / steady_p99,
        "queries_lost": result.offered - result.answered,
    }


def _turn_cold(
    deployment: local_deployment.LocalDeployment, names: set[str]
) -> None:
    change = {"searchers": sorted(names), "turn_cold": True}
    deployment.change_searchers(change)


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    rows = _deployments.measure_deployments(
        seed,
        lambda deployment, workload: asyncio.run(
            _measure(deployment, workload, seed)
        ),
    )
    _report.print_report(
        "cold_start",
        seed,
        _deployments.worst_figures(rows, {"coverage_share"}),
        rows,
        {"requests_over_capacity": 0, "ramp_over_shortest": 1.5},
    )


if __name__ == "__main__":
    main()
