"""CPU, memory and peer traffic of idle daemons, 5, 10, 20 and 40 at once.

The daemons serve no requests, so the cost is that of the control traffic among
them. The daemons of each cluster size run as processes on this machine. CPU and
traffic are means over the daemons; memory is the resident memory of the largest
daemon. The figures are those of the largest cluster; slopes are over all
cluster sizes.
"""

import pathlib
import time

import click

from benchmarks import _deployments
from benchmarks import _processes
from benchmarks import _report

DAEMON_COUNTS = (5, 10, 20, 40)
QUICK_DAEMON_COUNTS = (5, 10)
DURATION_S = 20.0
QUICK_DURATION_S = 8.0
SETTLE_S = 6.0
# Unit of times in `/proc`: `getconf CLK_TCK`.
CLOCK_TICKS_PER_S = 100


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user_ticks, system_ticks = fields.split()[11:13]
    return (int(user_ticks) + int(system_ticks)) / CLOCK_TICKS_PER_S


def _measure(daemon_count: int, duration_s: float) -> dict[str, float]:
    options = {"searcher_processes": 1}
    with _deployments.run_with_vm_count(daemon_count, **options) as deployment:
        time.sleep(SETTLE_S)
        pids = [process.pid for process in deployment.daemons.values()]
        cpu_start_s = sum(map(_cpu_s, pids))
        bytes_at_start = _deployments.total_counters(deployment)["peers.bytes"]
        started = time.monotonic()
        time.sleep(duration_s)
        elapsed_s = time.monotonic() - started
        cpu_s = sum(map(_cpu_s, pids)) - cpu_start_s
        bytes_at_end = _deployments.total_counters(deployment)["peers.bytes"]
        max_memory_mb = max(map(_processes.resident_mb, pids))
    return {
        "cpu_core_share": cpu_s / elapsed_s / daemon_count,
        "memory_mb": max_memory_mb,
        # Sender and receiver both count each byte.
        "bytes_per_s": (bytes_at_end - bytes_at_start)
        / elapsed_s
        / daemon_count
        / 2,
    }


def _slope(rows: dict[int, dict[str, float]], name: str) -> float:
    """Returns the least-squares slope of a figure per additional daemon."""
    daemon_counts = list(rows)
    mean_daemon_count = sum(daemon_counts) / len(daemon_counts)
    mean_value = sum(row[name] for row in rows.values()) / len(rows)
    covariance_sum = sum(
        (daemon_count - mean_daemon_count) * (row[name] - mean_value)
        for daemon_count, row in rows.items()
    )
    return covariance_sum / sum(
        (daemon_count - mean_daemon_count) ** 2
        for daemon_count in daemon_counts
    )


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    is_quick = _report.is_quick()
    daemon_counts = QUICK_DAEMON_COUNTS if is_quick else DAEMON_COUNTS
    duration_s = QUICK_DURATION_S if is_quick else DURATION_S
    rows = {
        daemon_count: _measure(daemon_count, duration_s)
        for daemon_count in daemon_counts
    }
    largest = rows[daemon_counts[-1]]
    figures = dict(largest)
    for name in largest:
        figures[f"{name}_slope_per_daemon"] = _slope(rows, name)
    _report.print_report(
        "control_cost",
        seed,
        figures,
        {f"daemons_{daemon_count}": row for daemon_count, row in rows.items()},
        {"cpu_core_share": 0.025, "memory_mb": 64.0, "bytes_per_s": 3000.0},
    )


if __name__ == "__main__":
    main()
