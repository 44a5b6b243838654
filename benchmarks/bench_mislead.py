"""Health endpoints that mislead: idle ones claim load, a slow one claims none.

The daemons do not read health endpoints; `health_reads` shows that, and the
ratio shows what the claims change.
"""

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor import declarations as declared
from citrondoor.standins import local_deployment

RATE_PER_S = 60.0
SECONDS = 15.0
QUICK_SECONDS = 6.0
SLOW_MS = 30.0


def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
    seconds: float,
) -> dict[str, float]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    backend = catalogue.backends[workload.backend]
    slow = backend.searchers[0].name
    deployment.change_searchers({"searchers": [slow], "service_ms": SLOW_MS})
    p99_ms = {}
    for kind, loads in (("truthful", (0.1, 0.9)), ("misled", (0.9, 0.0))):
        others, of_slow = loads
        deployment.change_searchers({"health_load": others})
        deployment.change_searchers(
            {"searchers": [slow], "health_load": of_slow}
        )
        plan = workload.plan(RATE_PER_S, total_timeout_ms=5000)
        results = _deployments.send_load(deployment, [plan], seed, seconds)
        p99_ms[kind] = results[plan.customer].percentile_ms(99)
    reads = sum(
        t["health_reads"] for t in deployment.searcher_counters().values()
    )
    return {
        "p99_over_truthful": p99_ms["misled"] / p99_ms["truthful"],
        "p99_truthful_ms": p99_ms["truthful"],
        "p99_misled_ms": p99_ms["misled"],
        "health_reads": reads,
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
        "mislead",
        seed,
        _deployments.worst_figures(rows, set()),
        rows,
        {"p99_over_truthful": 1.1},
    )


if __name__ == "__main__":
    main()
