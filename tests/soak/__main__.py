"""Command `python -m tests.soak`; exits with 1 if a violation was found."""

import pathlib
import sys

import click

from citrondoor.standins import soak


@click.command()
@click.option("--seed", type=int, required=True)
@click.option("--minutes", type=float, default=20.0)
@click.option("--deployment", default="mn-central")
@click.option("--address", default="127.0.0.1")
def main(seed: int, minutes: float, deployment: str, address: str) -> None:
    directory = pathlib.Path("examples") / deployment
    report = soak.Soak(directory, seed, minutes, address).run()
    soak.print_event(report.content())
    sys.exit(1 if report.problems else 0)


if __name__ == "__main__":
    main()
