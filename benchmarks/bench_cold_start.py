"""Measures how cold searchers warm up under load.

First all searchers of a back end turn cold at once, unannounced; then a zone is
taken out of service, its searchers turn cold, and it returns to service.
`requests_over_capacity` counts the sub-requests that reached a cold searcher
while all its open slots were in use, in both cases together; the stand-in
rejects them and loses its warm-up progress. `ramp_over_shortest` is the longer
of the two warm-up times divided by the shortest possible time, in which the
offered load gives each searcher as many sub-requests as the stand-in needs to
get warm.
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
# The steady phase lasts half of it, the load during both cases twice as long.
DURATION_S = 10.0
POLL_INTERVAL_S = 0.05
# As `cold_answers_per_slot` of the stand-in searchers.
ANSWERS_PER_SLOT = 10
WARM_UP_TIMEOUT_S = 9.0
ZONE_OUT_S = 2.0


async def _wait_warm(
    deployment: local_deployment.LocalDeployment, searcher_names: set[str]
) -> float:
    """Waits until the searchers are warm, up to `WARM_UP_TIMEOUT_S`.

    Returns:
      The elapsed time in seconds; about `WARM_UP_TIMEOUT_S` if some searchers
      are still cold.
    """
    started = time.monotonic()
    while time.monotonic() - started < WARM_UP_TIMEOUT_S:
        counters = await asyncio.to_thread(deployment.searcher_counters)
        if not any(counters[name]["is_cold"] for name in searcher_names):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started


def _count_over_capacity(deployment: local_deployment.LocalDeployment) -> int:
    counters = deployment.searcher_counters().values()
    return sum(
        searcher_counters["beyond_cold_capacity"]
        for searcher_counters in counters
    )


async def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
) -> dict[str, float]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    backend = catalogue.backends[workload.backend]
    searcher_names = {searcher.name for searcher in backend.searchers}
    groups = catalogue.snapshots[workload.backend][-1].groups
    plan = workload.plan(RATE_PER_S, total_timeout_ms=5000)
    sender = load.Load(_deployments.entry_urls(deployment), [plan], seed)
    steady = (await sender.run(DURATION_S / 2))[plan.customer]
    steady_p99 = steady.percentile_ms(99)
    # Each query sends one sub-request per group of shards, spread evenly over
    # the searchers.
    sub_requests_per_searcher_s = RATE_PER_S * len(groups) / len(searcher_names)
    shortest_s = (
        ANSWERS_PER_SLOT * (backend.slots - 1) / sub_requests_per_searcher_s
    )
    load_task = asyncio.create_task(sender.run(DURATION_S * 2))
    await asyncio.sleep(1.0)
    count_at_start = _count_over_capacity(deployment)
    await asyncio.to_thread(_turn_cold, deployment, searcher_names)
    unannounced_s = await _wait_warm(deployment, searcher_names)
    count_after_unannounced = _count_over_capacity(deployment)
    zone = backend.searchers[0].zone
    zone_searcher_names = {
        searcher.name for searcher in backend.searchers if searcher.zone == zone
    }
    await asyncio.to_thread(deployment.publish_zone, zone, "out")
    await asyncio.sleep(ZONE_OUT_S)
    await asyncio.to_thread(_turn_cold, deployment, zone_searcher_names)
    await asyncio.to_thread(deployment.publish_zone, zone, "in")
    zone_return_s = await _wait_warm(deployment, zone_searcher_names)
    result = (await load_task)[plan.customer]
    count_at_end = _count_over_capacity(deployment)
    return {
        "requests_over_capacity": count_at_end - count_at_start,
        "requests_over_capacity_unannounced": count_after_unannounced
        - count_at_start,
        "requests_over_capacity_zone_return": count_at_end
        - count_after_unannounced,
        "ramp_over_shortest": max(unannounced_s, zone_return_s) / shortest_s,
        "ramp_unannounced_s": unannounced_s,
        "ramp_zone_return_s": zone_return_s,
        "shortest_ramp_s": shortest_s,
        "coverage_share": result.coverage_share,
        "p99_over_steady": result.percentile_ms(99) / steady_p99,
        "queries_lost": result.offered - result.answered,
    }


def _turn_cold(
    deployment: local_deployment.LocalDeployment, searcher_names: set[str]
) -> None:
    change = {"searchers": sorted(searcher_names), "turn_cold": True}
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
