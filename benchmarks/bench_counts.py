"""Compares counted requests with receipts while faults occur.

Daemons crash, restart, pause and are partitioned during a soak run. A receipt
tells the caller that its request was counted; `counts_minus_receipts` is the
absolute difference between the requests that the daemons counted and those
receipts, over all customers.
"""

import click

from benchmarks import _deployments
from benchmarks import _report
from citrondoor.standins import soak

MINUTES = 3.0
QUICK_MINUTES = 0.4
FAULTS = ("crash", "crash", "restart", "partition", "pause")


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    minutes = QUICK_MINUTES if _report.is_quick() else MINUTES
    rows = {}
    for workload in _deployments.WORKLOADS:
        soak_run = soak.Soak(
            workload.directory, seed, minutes, "127.0.0.1", FAULTS
        )
        report = soak_run.run().content()
        receipts = sum(report["receipts"].values())
        counted = sum(report["counted"].values())
        rows[workload.name] = {
            "counts_minus_receipts": abs(counted - receipts),
            "receipts": receipts,
            "unresolved": sum(report["unresolved"].values()),
            "repeated_runs": report["repeated_runs"],
            "faults": sum(report["faults"].values()),
            "problems": report["problem_count"],
        }
        for problem in report["problems"]:
            print(problem)
    _report.print_report(
        "counts",
        seed,
        _deployments.worst_figures(rows, {"receipts", "faults"}),
        rows,
        {"counts_minus_receipts": 0, "repeated_runs": 0},
    )


if __name__ == "__main__":
    main()
