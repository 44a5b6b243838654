"""The command line of `citrondoord`, which runs a `Daemon`."""

import asyncio
import pathlib
import random
import sys

import click
import structlog

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import gc_tuning
from citrondoor import links
from citrondoor import malloc_tuning
from citrondoor import telemetry
from citrondoor.daemon import _assembly
from citrondoor.daemon import _settings
from citrondoor.daemon import endings
from citrondoor.daemon import standard_error

read_settings = _settings.read_settings


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="YAML file with the settings of this daemon.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.option("--seed", type=int, help="Seed of random choices, for tests.")
def main(settings_path: pathlib.Path, check: bool, seed: int | None) -> None:
    """Runs the daemon of one entry VM until SIGTERM."""
    try:
        settings = _settings.read_settings(settings_path)
    except errors.DocumentError as error:
        standard_error.write_line(str(error))
        if not check:
            telemetry.configure_logs()
            ending = endings.of_settings(error)
            structlog.get_logger().error("ended", **ending.fields)
        sys.exit(endings.ExitCode.BAD_SETTINGS)
    if check:
        return
    sys.exit(run(settings, random.Random(seed)))


def run(settings, rng: random.Random, connector=None) -> endings.ExitCode:
    """Runs a daemon in this process and returns the process's exit code.

    Args:
      settings: Checked settings.
      rng: Random number generator.
      connector: Opens connections to peers; None means
        `links.open_connection`.
    """
    telemetry.configure_logs()
    gc_tuning.tune()
    malloc_tuning.tune()
    try:
        return asyncio.run(_run(settings, rng, connector))
    except Exception as error:
        ending = endings.of_error("process", error)
        structlog.get_logger(vm=settings.vm).error("ended", **ending.fields)
        return ending.code


async def _run(settings, rng: random.Random, connector) -> endings.ExitCode:
    daemon = _assembly.Daemon(
        settings,
        clocks.Clock(),
        rng,
        connector or links.open_connection,
    )
    return await daemon.run()
