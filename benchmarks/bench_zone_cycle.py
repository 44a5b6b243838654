"""Latency and coverage while a zone leaves service and returns, under load."""

import asyncio
import time

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor import declarations as declared
from citrondoor.standins import load
from citrondoor.standins import local_deployment

RATE_PER_S = 60.0
ZONE_INDEX = 2
# From the start of the load; the zone is taken out 1 s after it.
ZONE_RETURN_S = 6.0
# Load before the cycle, and after the zone returns.
SETTLE_S = 6.0


async def _measure_cycle(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
) -> dict[str, float]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    zone = list(catalogue.zones)[ZONE_INDEX]
    counters_at_start = _deployments.total_counters(deployment)
    plan = workload.plan(RATE_PER_S, total_timeout_ms=10_000)
    sender = load.Load(_deployments.entry_urls(deployment), [plan], seed)
    steady_result = (await sender.run(SETTLE_S))[plan.customer]
    counters_after_steady = _deployments.total_counters(deployment)
    steady_p99_ms = steady_result.percentile_ms(99)
    load_task = asyncio.create_task(sender.run(ZONE_RETURN_S + SETTLE_S))
    await asyncio.sleep(1.0)
    published_at = time.time()
    await asyncio.to_thread(deployment.publish_zone, zone, "out")
    await asyncio.sleep(ZONE_RETURN_S - 1.0)
    last_new_work_s = _last_new_work_s(
        deployment, catalogue, zone, published_at
    )
    await asyncio.to_thread(deployment.publish_zone, zone, "in")
    change_result = (await load_task)[plan.customer]
    counters_at_end = _deployments.total_counters(deployment)
    return {
        "last_new_work_s": last_new_work_s,
        "coverage_share": change_result.coverage_share,
        "p99_over_steady": change_result.percentile_ms(99) / steady_p99_ms,
        "extra_load_share": _extra_load_share(
            counters_at_start, counters_after_steady, counters_at_end
        ),
        "queries_lost": change_result.offered - change_result.answered,
        "p99_steady_ms": steady_p99_ms,
        "p99_change_ms": change_result.percentile_ms(99),
    }


def _last_new_work_s(
    deployment, catalogue, zone: str, published_at: float
) -> float:
    """Returns when the zone's searchers last received work.

    The time is in seconds after `published_at`; negative means before it.
    """
    last_ms = 0
    for name, counters in deployment.searcher_counters().items():
        if catalogue.searchers[name].zone == zone:
            last_ms = max(last_ms, counters["last_work_ms"])
    return last_ms / 1000 - published_at


def _extra_load_share(
    counters_at_start: dict, counters_after_steady: dict, counters_at_end: dict
) -> float:
    """Returns the relative growth of sub-requests per query.

    Compares the zone's change with the steady phase before it; 0 means none.
    """

    def sub_requests_per_query(start: dict, end: dict) -> float:
        queries = end["queries"] - start["queries"]
        return (end["sub_requests"] - start["sub_requests"]) / max(1, queries)

    return (
        sub_requests_per_query(counters_after_steady, counters_at_end)
        / sub_requests_per_query(counters_at_start, counters_after_steady)
        - 1
    )


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    rows = _deployments.measure_deployments(
        seed,
        lambda deployment, workload: asyncio.run(
            _measure_cycle(deployment, workload, seed)
        ),
        is_first_only_if_quick=False,
    )
    _report.print_report(
        "zone_cycle",
        seed,
        _deployments.worst_figures(rows, {"coverage_share"}),
        rows,
        {
            "last_new_work_s": 3.0,
            "coverage_share": 1.0,
            "p99_over_steady": 2.0,
            "queries_lost": 0,
        },
    )


if __name__ == "__main__":
    main()
