"""Effect of one customer at ten times its contract on another customer.

The greedy customer exceeds its contract; the neighbour stays within its own.
`neighbour_p99_ratio` is the neighbour's p99 latency during the overload over
its p99 while the greedy customer stays within its contract. `goodput_share` is
the greedy customer's answered rate during the overload over its contract's
rate.
"""

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor.standins import load
from citrondoor.standins import local_deployment

GREEDY_CONTRACT_RATE_PER_S = 50.0
NEIGHBOUR_RATE_PER_S = 40.0
OVERLOAD_FACTOR = 10
DURATION_S = 15.0
QUICK_DURATION_S = 6.0


def _plans(workload: _deployments.Workload, greedy_rate_per_s: float):
    # The second contract allows 50 a second, the first one 200.
    neighbour, greedy = workload.customers.items()
    return [
        load.LoadPlan(
            neighbour[0], neighbour[1], workload.backend, NEIGHBOUR_RATE_PER_S
        ),
        load.LoadPlan(
            greedy[0], greedy[1], workload.backend, greedy_rate_per_s
        ),
    ]


def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
    duration_s: float,
) -> dict[str, float]:
    neighbour, greedy = workload.customers
    within_contract = _deployments.send_load(
        deployment,
        _plans(workload, GREEDY_CONTRACT_RATE_PER_S * 0.9),
        seed,
        duration_s,
    )
    within_contract_p99_ms = within_contract[neighbour].percentile_ms(99)
    overloaded = _deployments.send_load(
        deployment,
        _plans(workload, GREEDY_CONTRACT_RATE_PER_S * OVERLOAD_FACTOR),
        seed,
        duration_s,
    )
    return {
        "neighbour_p99_ratio": overloaded[neighbour].percentile_ms(99)
        / within_contract_p99_ms,
        "goodput_share": overloaded[greedy].answered
        / (GREEDY_CONTRACT_RATE_PER_S * duration_s),
        "neighbour_p99_calm_ms": within_contract_p99_ms,
        "neighbour_p99_busy_ms": overloaded[neighbour].percentile_ms(99),
        "neighbour_answered_share": overloaded[neighbour].answered
        / overloaded[neighbour].offered,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    duration_s = QUICK_DURATION_S if _report.is_quick() else DURATION_S
    rows = _deployments.measure_deployments(
        seed,
        lambda deployment, workload: _measure(
            deployment, workload, seed, duration_s
        ),
    )
    _report.print_report(
        "overload",
        seed,
        _deployments.worst_figures(
            rows, {"goodput_share", "neighbour_answered_share"}
        ),
        rows,
        {"neighbour_p99_ratio": 1.1, "goodput_share": 0.97},
    )


if __name__ == "__main__":
    main()
