"""Tail latency with stragglers, one slow searcher, and one slow zone.

Baselines of the same run: the same load without stragglers, and the policy
without hedging (`hedge_budget_share: 0`).
"""

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor import declarations as declared
from citrondoor.standins import local_deployment

RATE_PER_S = 60.0
SECONDS = 12.0
QUICK_SECONDS = 5.0
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 50.0
SERVICE_MS = 2.0
SLOW_ZONE_MS = 20.0


def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
    seconds: float,
) -> dict[str, float]:
    before = _deployments.total_counters(deployment)
    plan = workload.plan(RATE_PER_S, total_timeout_ms=5000)
    result = _deployments.send_load(deployment, [plan], seed, seconds)[
        plan.customer
    ]
    after = _deployments.total_counters(deployment)
    sent = after["sub_requests"] - before["sub_requests"]
    hedges = after["hedges"] - before["hedges"]
    return {
        "p50_ms": result.percentile_ms(50),
        "p99_ms": result.percentile_ms(99),
        "p999_ms": result.percentile_ms(99.9),
        "coverage_share": result.coverage_share,
        "extra_load_share": hedges / max(1, sent - hedges),
    }


def _run_cases(
    workload: _deployments.Workload, seed: int, seconds: float, options: dict
) -> dict[str, dict[str, float]]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    backend = catalogue.backends[workload.backend]
    zone = backend.searchers[0].zone
    in_zone = [s.name for s in backend.searchers if s.zone == zone]
    slow_share = {
        "straggler_share": STRAGGLER_SHARE,
        "straggler_factor": STRAGGLER_FACTOR,
    }
    cases = {
        "straggler_free": ({}, {}),
        "stragglers": (slow_share, {"straggler_share": 0.0}),
        "slow_searcher": (
            {
                "searchers": [backend.searchers[0].name],
                "service_ms": SERVICE_MS * STRAGGLER_FACTOR,
            },
            {"service_ms": SERVICE_MS},
        ),
        "slow_zone": (
            {"searchers": in_zone, "service_ms": SERVICE_MS + SLOW_ZONE_MS},
            {"service_ms": SERVICE_MS},
        ),
    }
    rows = {}
    with _deployments.run_deployment(workload, **options) as deployment:
        _deployments.warm_up(deployment, workload, seed)
        for name, (change, back) in cases.items():
            if change:
                deployment.change_searchers(dict(change))
            rows[name] = _measure(deployment, workload, seed, seconds)
            if back:
                deployment.change_searchers(dict(back))
    return rows


def _figures(rows: dict[str, dict[str, float]]) -> dict[str, float]:
    free = rows["straggler_free"]["p99_ms"]
    return {
        "p99_over_straggler_free": rows["stragglers"]["p99_ms"] / free,
        "extra_load_share": rows["stragglers"]["extra_load_share"],
        "coverage_share": min(r["coverage_share"] for r in rows.values()),
        "p50_ms": rows["stragglers"]["p50_ms"],
        "p99_ms": rows["stragglers"]["p99_ms"],
        "p999_ms": rows["stragglers"]["p999_ms"],
        "p99_straggler_free_ms": free,
        "slow_searcher_p99_over_free": rows["slow_searcher"]["p99_ms"] / free,
        "slow_zone_p99_over_free": rows["slow_zone"]["p99_ms"] / free,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    is_quick = _report.is_quick()
    seconds = QUICK_SECONDS if is_quick else SECONDS
    workloads = _deployments.WORKLOADS[: 1 if is_quick else 2]
    plain = {"overrides": {"upstreams": {"hedge_budget_share": 0.0}}}
    baselines = {}
    figures = {}
    for workload in workloads:
        rows = _run_cases(workload, seed, seconds, {})
        figures[workload.name] = _figures(rows)
        baselines[workload.name] = figures[workload.name]
        if not is_quick:
            rows = _run_cases(workload, seed, seconds, plain)
            baselines[f"{workload.name}_without_hedges"] = _figures(rows)
    _report.print_report(
        "stragglers",
        seed,
        _deployments.worst_figures(figures, {"coverage_share"}),
        baselines,
        {"p99_over_straggler_free": 1.3, "extra_load_share": 0.02},
    )


if __name__ == "__main__":
    main()
