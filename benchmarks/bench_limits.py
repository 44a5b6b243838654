"""Measures how closely admitted load follows a contract's rate limit.

With processes, all load goes to one entry daemon, which is then killed, and the
share of the contract's rate that is served before and after is measured. In
simulations of the limiters of five daemons with lost messages, crashes,
partitions and changed owners, under many seeds, the figure is the maximum by
which admitted requests exceeded the contract.
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
# From the crash to the start of the measurement after it.
CRASH_RECOVERY_S = 2.0
OFFERED_OVER_CONTRACT_RATIO = 1.5
# As declared for the customer of `_plan`.
CONTRACT_RATE_PER_S = 50.0
SIMULATION_COUNT = 300
QUICK_SIMULATION_COUNT = 40


def _plan(entry: str) -> load.LoadPlan:
    workload = _deployments.MN_CENTRAL
    customer = "gobi-fire-safety"
    return load.LoadPlan(
        customer,
        workload.customers[customer],
        workload.backend,
        CONTRACT_RATE_PER_S * OFFERED_OVER_CONTRACT_RATIO,
        entry=entry,
        top=1,
    )


async def _measure_served_share(
    deployment, entry: str, seed: int, duration_s: float
):
    sender = load.Load(
        _deployments.entry_urls(deployment), [_plan(entry)], seed
    )
    result = (await sender.run(duration_s))["gobi-fire-safety"]
    return result.answered / (CONTRACT_RATE_PER_S * duration_s)


def _measure_processes(seed: int) -> dict[str, float]:
    steady_s = QUICK_STEADY_S if _report.is_quick() else STEADY_S
    workload = _deployments.MN_CENTRAL
    with _deployments.run_deployment(workload) as deployment:
        _deployments.warm_up(deployment, workload, seed)
        killed_vm, other_vm = deployment.vm_names[:2]
        entry = deployment.url_of(killed_vm)
        # Uses up the burst allowance, so that only the rate is measured.
        asyncio.run(_measure_served_share(deployment, entry, seed, 3.0))
        served_share = asyncio.run(
            _measure_served_share(deployment, entry, seed + 1, steady_s)
        )
        deployment.daemons[killed_vm].kill()
        time.sleep(CRASH_RECOVERY_S)
        other_entry = deployment.url_of(other_vm)
        served_share_after_crash = asyncio.run(
            _measure_served_share(
                deployment, other_entry, seed + 2, AFTER_CRASH_S
            )
        )
    return {
        "served_share": served_share,
        "served_share_after_crash": served_share_after_crash,
    }


def _measure_simulations(seed: int) -> dict[str, float]:
    simulation_count = (
        QUICK_SIMULATION_COUNT if _report.is_quick() else SIMULATION_COUNT
    )
    rng = random.Random(seed)
    max_excess = 0.0
    admitted_count = 0
    for _ in range(simulation_count):
        simulation = rate_simulation.simulate_faults(
            random.Random(rng.random())
        )
        max_excess = max(max_excess, simulation.max_contract_excess())
        admitted_count += len(simulation.admitted)
    return {"admitted_over_contract": max_excess, "admitted": admitted_count}


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    simulation_figures = _measure_simulations(seed)
    figures = {**_measure_processes(seed), **simulation_figures}
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
