"""The one form in which every benchmark speaks."""

import os
import subprocess

import click
import orjson


def is_quick() -> bool:
    """Returns whether a run of less than 50 s is wanted."""
    return os.environ.get("QUICK") == "1"


def seed_option(command):
    """Adds the option `--seed` to a command."""
    return click.option("--seed", type=int, default=7)(command)


def print_report(
    name: str,
    seed: int,
    figures: dict[str, float],
    baselines: dict[str, dict[str, float]],
    targets: dict[str, float],
) -> None:
    """Prints the last line of a benchmark.

    Args:
      name: Name of the benchmark.
      seed: Its seed.
      figures: Measured figures; units are in the names.
      baselines: The same figures of each baseline of the same run.
      targets: The stated targets of figures, by the same names.
    """
    content = {
        "name": name,
        "seed": seed,
        "commit": _commit(),
        "figures": _rounded(figures),
        "baselines": {key: _rounded(b) for key, b in baselines.items()},
        "targets": targets,
    }
    print(orjson.dumps(content).decode(), flush=True)


def _rounded(figures: dict[str, float]) -> dict[str, float]:
    return {
        name: round(value, 4) if isinstance(value, float) else value
        for name, value in figures.items()
    }


def _commit() -> str:
    found = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip() or "unknown"
