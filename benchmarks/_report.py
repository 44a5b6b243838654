"""Command-line options and report format that all benchmarks share."""

import os
import subprocess

import click
import orjson


def is_quick() -> bool:
    """Returns whether `QUICK=1` requests a run of less than 50 s."""
    return os.environ.get("QUICK") == "1"


def seed_option(command):
    """Adds the option `--seed` (default 7) to a command."""
    return click.option("--seed", type=int, default=7)(command)


def print_report(
    name: str,
    seed: int,
    figures: dict[str, float],
    baselines: dict[str, dict[str, float]],
    targets: dict[str, float],
) -> None:
    """Prints the report of a benchmark as one line of JSON.

    Args:
      name: Name of the benchmark.
      seed: Its seed.
      figures: Measured figures by name; names end in the unit.
      baselines: Figures by baseline, measured in the same run.
      targets: Target values by figure name.
    """
    content = {
        "name": name,
        "seed": seed,
        "commit": _commit(),
        "figures": _rounded(figures),
        "baselines": {
            baseline: _rounded(row) for baseline, row in baselines.items()
        },
        "targets": targets,
    }
    print(orjson.dumps(content).decode(), flush=True)


def _rounded(figures: dict[str, float]) -> dict[str, float]:
    return {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in figures.items()
    }


def _commit() -> str:
    result = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return result.stdout.strip() or "unknown"
