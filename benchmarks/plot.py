"""Plots latency percentiles, and latencies over time during a zone cycle.

`python -m benchmarks.plot --seed 7 --output plots` runs mn-central with 1% of
stragglers, with and without hedges, then takes a zone out of service and
returns it under load.
"""

import asyncio
import pathlib
import time

import click
import matplotlib as mpl

mpl.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

from benchmarks import _deployments  # noqa: E402
from citrondoor.standins import load  # noqa: E402

RATE_PER_S = 60.0
DURATION_S = 15.0
PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9)
WORKLOAD = _deployments.MN_CENTRAL
OUT_AFTER_S = 5.0
IN_AFTER_S = 10.0
DPI = 110


def _run_stragglers(seed: int, hedge_budget_share: float) -> load.LoadResult:
    overrides = {"upstreams": {"hedge_budget_share": hedge_budget_share}}
    options = {"overrides": overrides}
    with _deployments.run_deployment(WORKLOAD, **options) as deployment:
        _deployments.warm_up(deployment, WORKLOAD, seed)
        deployment.change_searchers({"straggler_share": 0.01})
        plan = WORKLOAD.plan(RATE_PER_S)
        results = _deployments.send_load(deployment, [plan], seed, DURATION_S)
        return results[plan.customer]


async def _run_zone_cycle(deployment, seed: int) -> load.LoadResult:
    plan = WORKLOAD.plan(RATE_PER_S, total_timeout_ms=5000)
    sender = load.Load(_deployments.entry_urls(deployment), [plan], seed)
    load_task = asyncio.create_task(sender.run(DURATION_S))
    await asyncio.sleep(OUT_AFTER_S)
    zone = deployment.vms[2].zone
    await asyncio.to_thread(deployment.publish_zone, zone, "out")
    await asyncio.sleep(IN_AFTER_S - OUT_AFTER_S)
    await asyncio.to_thread(deployment.publish_zone, zone, "in")
    return (await load_task)[plan.customer]


def _draw_percentiles(path: pathlib.Path, results: dict) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    labels = [str(percentile) for percentile in PERCENTILES]
    for name, result in results.items():
        values = [
            result.percentile_ms(percentile) for percentile in PERCENTILES
        ]
        axes.plot(labels, values, marker="o", label=name)
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency from the intended start, ms")
    axes.set_title("1% of sub-requests 50 times slower, mn-central")
    axes.set_ylim(bottom=0)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path, dpi=DPI, bbox_inches="tight")


def _draw_timeline(
    path: pathlib.Path, result: load.LoadResult, started_at: float
) -> None:
    figure, axes = plt.subplots(figsize=(8, 4))
    seconds = [unix_s - started_at for unix_s, _ in result.samples]
    axes.scatter(seconds, [ms for _, ms in result.samples], s=6)
    axes.axvspan(OUT_AFTER_S, IN_AFTER_S, alpha=0.15, label="zone out")
    axes.set_xlabel("time, s")
    axes.set_ylabel("latency, ms")
    axes.set_title("Zone out of service and back under load, mn-central")
    axes.set_ylim(bottom=0)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path, dpi=DPI, bbox_inches="tight")


@click.command()
@click.option("--seed", type=int, default=7)
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def main(seed: int, output: pathlib.Path) -> None:
    output.mkdir(parents=True, exist_ok=True)
    results = {
        "hedges within 2%": _run_stragglers(seed, 0.02),
        "no hedges": _run_stragglers(seed, 0.0),
    }
    _draw_percentiles(output / "stragglers.png", results)
    with _deployments.run_deployment(WORKLOAD) as deployment:
        _deployments.warm_up(deployment, WORKLOAD, seed)
        started_at = time.time()
        result = asyncio.run(_run_zone_cycle(deployment, seed))
    _draw_timeline(output / "zone_cycle.png", result, started_at)


if __name__ == "__main__":
    main()
