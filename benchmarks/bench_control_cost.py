"""CPU, memory and peer traffic of control at 5, 10, 20 and 40 daemons.

The daemons serve no requests. Each size runs as processes on this machine.
"""

import pathlib
import time

import click

from benchmarks import _deployments
from benchmarks import _report

SIZES = (5, 10, 20, 40)
QUICK_SIZES = (5, 10)
SECONDS = 20.0
QUICK_SECONDS = 8.0
SETTLE_S = 6.0
TICKS_PER_S = 100
BYTES_PER_MB = 1_000_000
PAGE_BYTES = 4096


def _cpu_s(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def _memory_mb(pid: int) -> float:
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / BYTES_PER_MB


def _measure(size: int, seconds: float) -> dict[str, float]:
    options = {"searcher_processes": 1}
    with _deployments.run_with_vm_count(size, **options) as deployment:
        time.sleep(SETTLE_S)
        pids = [p.pid for p in deployment.daemons.values()]
        cpu_before = sum(map(_cpu_s, pids))
        before = _deployments.total_counters(deployment)["peers.bytes"]
        started = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        cpu = sum(map(_cpu_s, pids)) - cpu_before
        after = _deployments.total_counters(deployment)["peers.bytes"]
        memory = max(map(_memory_mb, pids))
    return {
        "cpu_core_share": cpu / elapsed / size,
        "memory_mb": memory,
        # Each byte is counted by the sender and by the receiver.
        "bytes_per_s": (after - before) / elapsed / size / 2,
    }


def _slope(rows: dict[int, dict[str, float]], name: str) -> float:
    """Returns the least-squares slope of a figure for each daemon more."""
    sizes = list(rows)
    mean_size = sum(sizes) / len(sizes)
    mean = sum(row[name] for row in rows.values()) / len(rows)
    above = sum(
        (size - mean_size) * (row[name] - mean) for size, row in rows.items()
    )
    return above / sum((size - mean_size) ** 2 for size in sizes)


@click.command()
@_report.seed_option
def main(seed: int) -> None:
    is_quick = _report.is_quick()
    sizes = QUICK_SIZES if is_quick else SIZES
    seconds = QUICK_SECONDS if is_quick else SECONDS
    rows = {size: _measure(size, seconds) for size in sizes}
    largest = rows[sizes[-1]]
    figures = dict(largest)
    for name in largest:
        figures[f"{name}_slope_per_daemon"] = _slope(rows, name)
    _report.print_report(
        "control_cost",
        seed,
        figures,
        {f"daemons_{size}": row for size, row in rows.items()},
        {"cpu_core_share": 0.025, "memory_mb": 64.0, "bytes_per_s": 3000.0},
    )


if __name__ == "__main__":
    main()
