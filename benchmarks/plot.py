"""Draws latency percentiles, and a time line through a zone cycle.

`python -m benchmarks.plot --seed 7 --output plots` runs mn-central with 1% of
stragglers, with and without hedges, then takes a zone out and back under load.
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
SECONDS = 15.0
PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9)
WORKLOAD = _deployments.MN_CENTRAL
OUT_AFTER_S = 5.0
IN_AFTER_S = 10.0
DPI = 110


def _run_stragglers(seed: int, hedge_share: float) -> load.LoadResult:
    overrides = {"upstreams": {"hedge_budget_share": hedge_share}}
    options = {"overrides": overrides}
    with _deployments.run_deployment(WORKLOAD, **options) as deployment:
        _deployments.warm_up(deployment, WORKLOAD, seed)
        deployment.change_searchers({"straggler_share": 0.01})
        plan = WORKLOAD.plan(RATE_PER_S)
        results = _deployments.send_load(deployment, [plan], seed, SECONDS)
        return results[plan.customer]


async def _run_zone_cycle(deployment, seed: int) -> load.LoadResult:
    plan = WORKLOAD.plan(RATE_PER_S, total_timeout_ms=5000)
    sender = load.Load(_deployments.entry_urls(deployment), [plan], seed)
    running = asyncio.create_task(sender.run(SECONDS))
    await asyncio.sleep(OUT_AFTER_S)
    zone = deployment.vms[2].zone
    await asyncio.to_thread(deployment.publish_zone, zone, "out")
    await asyncio.sleep(IN_AFTER_S - OUT_AFTER_S)
    await asyncio.to_thread(deployment.publish_zone, zone, "in")
    return (await running)[plan.customer]


def _draw_percentiles(path: pathlib.Path, results: dict) -> None:
    figure, axes = plt.subplots(figsize=(7, 4))
    labels = [str(percentile) for percentile in PERCENTILES]
    for name, result in results.items():
        values = [result.percentile_ms(p) for p in PERCENTILES]
        axes.plot(labels, values, marker="o", label=name)
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency from the intended start, ms")
    axes.set_title("1% of sub-requests 50 times slower, mn-central")
    axes.set_ylim(bottom=0)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path, dpi=DPI, bbox_inches="tight")


def _draw_time_line(
    path: pathlib.Path, result: load.LoadResult, started: float
) -> None:
    figure, axes = plt.subplots(figsize=(8, 4))
    seconds = [at - started for at, _ in result.samples]
    axes.scatter(seconds, [ms for _, ms in result.samples], s=6)
    axes.axvspan(OUT_AFTER_S, IN_AFTER_S, alpha=0.15, label="zone out")
    axes.set_xlabel("time, s")
    axes.set_ylabel("latency, ms")
    axes.set_title("A zone leaves and returns under load, mn-central")
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
        started = time.time()
        result = asyncio.run(_run_zone_cycle(deployment, seed))
    _draw_time_line(output / "zone_cycle.png", result, started)


if __name__ == "__main__":
    main()
