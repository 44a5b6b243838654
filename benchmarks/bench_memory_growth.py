"""Resident memory of five daemons of the users' platform under a day's load.

Real daemon processes, stand-ins in this process, no disruption. The slope is
that of the mean over the daemons after `SETTLE_S`, by least squares.
"""

import asyncio
import pathlib
import statistics
import tempfile
import time

import click

from benchmarks import _processes
from benchmarks import _report
from tests.platform import deployment as deployments

DAEMON_COUNT = 5
CALLER_COUNT = 12
# The load of both deployments of five VMs.
REQUESTS_PER_S = 56
SETTLE_S = 300.0
DURATION_S = 1800.0
QUICK_SETTLE_S = 10.0
QUICK_DURATION_S = 40.0
SAMPLE_INTERVAL_S = 5.0
S_PER_MIN = 60.0


async def _send_forever(deployment, number: int, is_loaded: bool) -> None:
    interval_s = CALLER_COUNT / REQUESTS_PER_S
    while is_loaded:
        daemon = deployment.daemons[number % DAEMON_COUNT]
        number += 1
        started_at = time.monotonic()
        await deployment.send_request(daemon)
        elapsed_s = time.monotonic() - started_at
        await asyncio.sleep(max(0.0, interval_s - elapsed_s))


async def _measure(
    duration_s: float, settle_s: float, is_loaded: bool
) -> dict[str, float]:
    samples = []
    with tempfile.TemporaryDirectory() as folder:
        async with deployments.Deployment(
            pathlib.Path(folder), daemons=DAEMON_COUNT, shards=20
        ) as deployment:
            callers = [
                asyncio.create_task(_send_forever(deployment, n, is_loaded))
                for n in range(CALLER_COUNT)
            ]
            started_at = time.monotonic()
            while time.monotonic() - started_at < duration_s:
                await asyncio.sleep(SAMPLE_INTERVAL_S)
                mean_mb = statistics.fmean(
                    _processes.resident_mb(daemon.process.pid)
                    for daemon in deployment.daemons
                )
                samples.append((time.monotonic() - started_at, mean_mb))
            for caller in callers:
                caller.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            request_count = deployment.request_count
    settled = [sample for sample in samples if sample[0] >= settle_s]
    slope = statistics.linear_regression(*zip(*settled, strict=True)).slope
    return {
        "requests": request_count,
        "first_mb": samples[0][1],
        "settled_mb": settled[0][1],
        "last_mb": samples[-1][1],
        "slope_mb_per_min": slope * S_PER_MIN,
    }


@click.command()
@_report.seed_option
@click.option("--duration-s", type=float, default=None)
@click.option("--settle-s", type=float, default=None)
@click.option("--idle", is_flag=True, help="Without requests.")
def main(
    seed: int, duration_s: float | None, settle_s: float | None, idle: bool
) -> None:
    """Prints the memory of the daemons and its slope."""
    is_quick = _report.is_quick()
    duration_s = duration_s or (QUICK_DURATION_S if is_quick else DURATION_S)
    settle_s = settle_s or (QUICK_SETTLE_S if is_quick else SETTLE_S)
    figures = asyncio.run(_measure(duration_s, settle_s, not idle))
    _report.print_report(
        "memory_growth", seed, figures, {}, {"slope_mb_per_min": 0.0}
    )


if __name__ == "__main__":
    main()
