"""One customer at ten times its contract beside another one.

`neighbour_p99_ratio` is the other customer's p99 over its p99 while the first
one keeps to its contract. `goodput_share` is what the first one is served of
its contracted rate.
"""

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor.standins import load
from citrondoor.standins import local_deployment

GREEDY_RATE_PER_S = 50.0
NEIGHBOUR_RATE_PER_S = 40.0
OVER = 10
SECONDS = 15.0
QUICK_SECONDS = 6.0


def _plans(workload: _deployments.Workload, greedy_rate: float):
    # The second contract allows 50 a second, the first one 200.
    first, second = workload.customers.items()
    return [
        load.LoadPlan(
            first[0], first[1], workload.backend, NEIGHBOUR_RATE_PER_S
        ),
        load.LoadPlan(second[0], second[1], workload.backend, greedy_rate),
    ]


def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
    seconds: float,
) -> dict[str, float]:
    neighbour, greedy = workload.customers
    calm = _deployments.send_load(
        deployment, _plans(workload, GREEDY_RATE_PER_S * 0.9), seed, seconds
    )
    calm_p99 = calm[neighbour].percentile_ms(99)
    busy = _deployments.send_load(
        deployment, _plans(workload, GREEDY_RATE_PER_S * OVER), seed, seconds
    )
    return {
        "neighbour_p99_ratio": busy[neighbour].percentile_ms(99) / calm_p99,
        "goodput_share": busy[greedy].answered / (GREEDY_RATE_PER_S * seconds),
        "neighbour_p99_calm_ms": calm_p99,
        "neighbour_p99_busy_ms": busy[neighbour].percentile_ms(99),
        "neighbour_answered_share": busy[neighbour].answered
        / busy[neighbour].offered,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    seconds = QUICK_SECONDS if _report.is_quick() else SECONDS
    rows = _deployments.measure_deployments(
        seed,
        lambda deployment, workload: _measure(
            deployment, workload, seed, seconds
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
