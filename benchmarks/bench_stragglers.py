"""Tail latency with stragglers, with a slow searcher and with a slow zone.

A straggler is a sub-request whose service time is `STRAGGLER_FACTOR` times as
long. The ratios compare with the same load without stragglers. Baselines are
the figures of each deployment and, except in quick runs, those without hedging
(`hedge_budget_share: 0`).
"""

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor import declarations as declared
from citrondoor.standins import local_deployment

RATE_PER_S = 60.0
DURATION_S = 12.0
QUICK_DURATION_S = 5.0
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 50.0
# Equals `SEARCH_SERVICE_MS` of the stand-ins; each case restores this value.
SERVICE_MS = 2.0
SLOW_ZONE_EXTRA_MS = 20.0


def _measure(
    deployment: local_deployment.LocalDeployment,
    workload: _deployments.Workload,
    seed: int,
    duration_s: float,
) -> dict[str, float]:
    counters_at_start = _deployments.total_counters(deployment)
    plan = workload.plan(RATE_PER_S, total_timeout_ms=5000)
    result = _deployments.send_load(deployment, [plan], seed, duration_s)[
        plan.customer
    ]
    counters_at_end = _deployments.total_counters(deployment)
    sub_requests = (
        counters_at_end["sub_requests"] - counters_at_start["sub_requests"]
    )
    hedges = counters_at_end["hedges"] - counters_at_start["hedges"]
    return {
        "p50_ms": result.percentile_ms(50),
        "p99_ms": result.percentile_ms(99),
        "p999_ms": result.percentile_ms(99.9),
        "coverage_share": result.coverage_share,
        "extra_load_share": hedges / max(1, sub_requests - hedges),
    }


def _run_cases(
    workload: _deployments.Workload, seed: int, duration_s: float, options: dict
) -> dict[str, dict[str, float]]:
    catalogue = declared.Catalogue(declared.read_directory(workload.directory))
    backend = catalogue.backends[workload.backend]
    zone = backend.searchers[0].zone
    zone_searcher_names = [
        searcher.name for searcher in backend.searchers if searcher.zone == zone
    ]
    straggler_change = {
        "straggler_share": STRAGGLER_SHARE,
        "straggler_factor": STRAGGLER_FACTOR,
    }
    # Searcher settings of each case, and the settings that undo them.
    cases = {
        "straggler_free": ({}, {}),
        "stragglers": (straggler_change, {"straggler_share": 0.0}),
        "slow_searcher": (
            {
                "searchers": [backend.searchers[0].name],
                "service_ms": SERVICE_MS * STRAGGLER_FACTOR,
            },
            {"service_ms": SERVICE_MS},
        ),
        "slow_zone": (
            {
                "searchers": zone_searcher_names,
                "service_ms": SERVICE_MS + SLOW_ZONE_EXTRA_MS,
            },
            {"service_ms": SERVICE_MS},
        ),
    }
    rows = {}
    with _deployments.run_deployment(workload, **options) as deployment:
        _deployments.warm_up(deployment, workload, seed)
        for name, (change, restore) in cases.items():
            if change:
                deployment.change_searchers(dict(change))
            rows[name] = _measure(deployment, workload, seed, duration_s)
            if restore:
                deployment.change_searchers(dict(restore))
    return rows


def _compare_cases(rows: dict[str, dict[str, float]]) -> dict[str, float]:
    straggler_free_p99_ms = rows["straggler_free"]["p99_ms"]
    return {
        "p99_over_straggler_free": rows["stragglers"]["p99_ms"]
        / straggler_free_p99_ms,
        "extra_load_share": rows["stragglers"]["extra_load_share"],
        "coverage_share": min(row["coverage_share"] for row in rows.values()),
        "p50_ms": rows["stragglers"]["p50_ms"],
        "p99_ms": rows["stragglers"]["p99_ms"],
        "p999_ms": rows["stragglers"]["p999_ms"],
        "p99_straggler_free_ms": straggler_free_p99_ms,
        "slow_searcher_p99_over_free": rows["slow_searcher"]["p99_ms"]
        / straggler_free_p99_ms,
        "slow_zone_p99_over_free": rows["slow_zone"]["p99_ms"]
        / straggler_free_p99_ms,
    }


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    is_quick = _report.is_quick()
    duration_s = QUICK_DURATION_S if is_quick else DURATION_S
    workloads = _deployments.WORKLOADS[: 1 if is_quick else 2]
    without_hedging = {"overrides": {"upstreams": {"hedge_budget_share": 0.0}}}
    baselines = {}
    figures = {}
    for workload in workloads:
        rows = _run_cases(workload, seed, duration_s, {})
        figures[workload.name] = _compare_cases(rows)
        baselines[workload.name] = figures[workload.name]
        if not is_quick:
            rows = _run_cases(workload, seed, duration_s, without_hedging)
            baselines[f"{workload.name}_without_hedges"] = _compare_cases(rows)
    _report.print_report(
        "stragglers",
        seed,
        _deployments.worst_figures(figures, {"coverage_share"}),
        baselines,
        {"p99_over_straggler_free": 1.3, "extra_load_share": 0.02},
    )


if __name__ == "__main__":
    main()
