"""Service while operators take a zone out and bring it back, under load."""

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
OUT_S = 6.0
SETTLE_S = 6.0


async def _cycle(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
) -> dict[str, float]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    zone = list(catalogue.zones)[ZONE_INDEX]
    before = _deployments.total_counters(deployment)
    plan = workload.plan(RATE_PER_S, total_timeout_ms=10_000)
    sender = load.Load(_deployments.entry_urls(deployment), [plan], seed)
    steady = (await sender.run(SETTLE_S))[plan.customer]
    steady_end = _deployments.total_counters(deployment)
    steady_p99 = steady.percentile_ms(99)
    moving = asyncio.create_task(sender.run(OUT_S + SETTLE_S))
    await asyncio.sleep(1.0)
    out_at = time.time()
    await asyncio.to_thread(deployment.publish_zone, zone, "out")
    await asyncio.sleep(OUT_S - 1.0)
    last_work_s = _last_work_s(deployment, catalogue, zone, out_at)
    await asyncio.to_thread(deployment.publish_zone, zone, "in")
    changed = (await moving)[plan.customer]
    after = _deployments.total_counters(deployment)
    return {
        "last_new_work_s": last_work_s,
        "coverage_share": changed.coverage_share,
        "p99_over_steady": changed.percentile_ms(99) / steady_p99,
        "extra_load_share": _extra(before, steady_end, after),
        "queries_lost": changed.offered - changed.answered,
        "p99_steady_ms": steady_p99,
        "p99_change_ms": changed.percentile_ms(99),
    }


def _last_work_s(deployment, catalogue, zone: str, out_at: float) -> float:
    """Returns when the zone last got work; negative is before publication."""
    last_ms = 0
    for name, seen in deployment.searcher_counters().items():
        if catalogue.searchers[name].zone == zone:
            last_ms = max(last_ms, seen["last_work_ms"])
    return last_ms / 1000 - out_at


def _extra(before: dict, steady_end: dict, after: dict) -> float:
    """Returns sub-requests a query during the change over the steady ones."""

    def each(start: dict, end: dict) -> float:
        queries = end["queries"] - start["queries"]
        return (end["sub_requests"] - start["sub_requests"]) / max(1, queries)

    return each(steady_end, after) / each(before, steady_end) - 1


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    rows = _deployments.measure_deployments(
        seed,
        lambda deployment, workload: asyncio.run(
            _cycle(deployment, workload, seed)
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
