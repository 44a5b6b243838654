"""What a customer is admitted over and under its contract.

Processes: all load on one entry, then that entry is killed. Decisions: a fleet
of five with lost messages, crashes, cuts and changed homes, many seeds.
"""

import asyncio
import random
import time

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor.standins import load
from citrondoor.standins import rate_simulation

STEADY_S = 12.0
QUICK_STEADY_S = 5.0
AFTER_CRASH_S = 5.0
CRASH_LIMIT_S = 2.0
OFFERED_OVER_RATE = 1.5
CONTRACT_RATE_PER_S = 50.0
SEEDS = 300
QUICK_SEEDS = 40


def _plan(entry: str) -> load.LoadPlan:
    workload = _deployments.MN_CENTRAL
    customer = "gobi-fire-safety"
    return load.LoadPlan(
        customer,
        workload.customers[customer],
        workload.backend,
        CONTRACT_RATE_PER_S * OFFERED_OVER_RATE,
        entry=entry,
        top=1,
    )


async def _serve_share(deployment, entry: str, seed: int, seconds: float):
    sender = load.Load(
        _deployments.entry_urls(deployment), [_plan(entry)], seed
    )
    result = (await sender.run(seconds))["gobi-fire-safety"]
    return result.answered / (CONTRACT_RATE_PER_S * seconds)


def _measure_processes(seed: int) -> dict[str, float]:
    steady_s = QUICK_STEADY_S if _report.is_quick() else STEADY_S
    workload = _deployments.MN_CENTRAL
    with _deployments.run_deployment(workload) as deployment:
        _deployments.warm_up(deployment, workload, seed)
        first, second = deployment.vm_names[:2]
        entry = deployment.url_of(first)
        # The burst is used up first, so that only the rate is measured.
        asyncio.run(_serve_share(deployment, entry, seed, 3.0))
        served = asyncio.run(
            _serve_share(deployment, entry, seed + 1, steady_s)
        )
        deployment.daemons[first].kill()
        time.sleep(CRASH_LIMIT_S)
        other = deployment.url_of(second)
        after = asyncio.run(
            _serve_share(deployment, other, seed + 2, AFTER_CRASH_S)
        )
    return {"served_share": served, "served_share_after_crash": after}


def _measure_decisions(seed: int) -> dict[str, float]:
    seeds = QUICK_SEEDS if _report.is_quick() else SEEDS
    rng = random.Random(seed)
    worst = 0.0
    admitted = 0
    for _ in range(seeds):
        simulation = rate_simulation.simulate_faults(
            random.Random(rng.random())
        )
        worst = max(worst, simulation.max_contract_excess())
        admitted += len(simulation.admitted)
    return {"admitted_over_contract": worst, "admitted": admitted}


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    decisions = _measure_decisions(seed)
    figures = {**_measure_processes(seed), **decisions}
    _report.print_report(
        "limits",
        seed,
        figures,
        {},
        {
            "admitted_over_contract": 0,
            "served_share": 0.97,
            "served_share_after_crash": 0.8,
        },
    )


if __name__ == "__main__":
    main()
