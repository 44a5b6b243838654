"""Tail latency while health endpoints report misleading load.

Fast searchers report a high load and a slow one reports none. Daemons do not
read health endpoints: `health_reads` counts reads of them, and
`p99_over_truthful` compares the p99 latency with that under truthful reports.
"""

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor import declarations as declared
from citrondoor.standins import local_deployment

RATE_PER_S = 60.0
DURATION_S = 15.0
QUICK_DURATION_S = 6.0
SLOW_SERVICE_MS = 30.0


def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
    duration_s: float,
) -> dict[str, float]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    backend = catalogue.backends[workload.backend]
    slow_searcher = backend.searchers[0].name
    deployment.change_searchers(
        {"searchers": [slow_searcher], "service_ms": SLOW_SERVICE_MS}
    )
    p99_ms = {}
    for case, reported_loads in (
        ("truthful", (0.1, 0.9)),
        ("misled", (0.9, 0.0)),
    ):
        others_load, slow_load = reported_loads
        deployment.change_searchers({"health_load": others_load})
        deployment.change_searchers(
            {"searchers": [slow_searcher], "health_load": slow_load}
        )
        plan = workload.plan(RATE_PER_S, total_timeout_ms=5000)
        results = _deployments.send_load(deployment, [plan], seed, duration_s)
        p99_ms[case] = results[plan.customer].percentile_ms(99)
    health_reads = sum(
        counters["health_reads"]
        for counters in deployment.searcher_counters().values()
    )
    return {
        "p99_over_truthful": p99_ms["misled"] / p99_ms["truthful"],
        "p99_truthful_ms": p99_ms["truthful"],
        "p99_misled_ms": p99_ms["misled"],
        "health_reads": health_reads,
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
        "mislead",
        seed,
        _deployments.worst_figures(rows, set()),
        rows,
        {"p99_over_truthful": 1.1},
    )


if __name__ == "__main__":
    main()
