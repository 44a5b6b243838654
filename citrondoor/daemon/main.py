"""The command `citrondoord`."""

import asyncio
import gc
import pathlib
import random
import sys

import click

from citrondoor import clock as clocks
from citrondoor import errors
from citrondoor import telemetry
from citrondoor.daemon import _assembly
from citrondoor.daemon import _settings

EXIT_BAD_SETTINGS = 2
COLLECT_AFTER_OBJECTS = 100_000


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
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        return
    run(settings, random.Random(seed))


def run(settings, source: random.Random, connector=None) -> None:
    """Runs a daemon in this process.

    Args:
      settings: Checked settings.
      source: Random source.
      connector: Opens connections to peers; None takes TCP.
    """
    telemetry.configure_logs()
    tune_collector()
    asyncio.run(_run(settings, source, connector))


def tune_collector() -> None:
    """Makes the garbage collector look less often.

    A query makes hundreds of objects and no cycles. Objects of the start-up
    never die: the collector need not look at them.
    """
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_OBJECTS)


async def _run(settings, source: random.Random, connector) -> None:
    daemon = _assembly.Daemon(
        settings,
        clocks.Clock(),
        source,
        connector or asyncio.open_connection,
    )
    await daemon.run()


if __name__ == "__main__":
    main()
