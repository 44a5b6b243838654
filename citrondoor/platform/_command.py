"""The command line of the daemon on the platform."""

import asyncio
import os
import pathlib
import random
import sys

import click

from citrondoor import clock as clocks
from citrondoor import entry
from citrondoor import errors
from citrondoor import gc_tuning
from citrondoor import malloc_tuning
from citrondoor import signals
from citrondoor.daemon import endings
from citrondoor.daemon import entry_daemon
from citrondoor.daemon import settings_wait
from citrondoor.daemon import standard_error
from citrondoor.platform import _callers
from citrondoor.platform import _searcher_codec
from citrondoor.platform import _store
from citrondoor.schema import serving

SETTINGS_VARIABLE = "CITRONDOOR_SETTINGS"


class PlatformAdapter:
    """Creates the clients, codecs and handlers for the platform."""

    __slots__ = ()

    def make_store_client(self, settings, on_unreadable, account, turns):
        """Returns a client of the platform's store."""
        return _store.StoreClient(settings, on_unreadable, account, turns)

    def make_searcher_codec(self, on_unreadable):
        """Returns the codec of requests to searchers and their responses."""
        return _searcher_codec.PlatformSearcherCodec(on_unreadable)

    def make_caller_handler(
        self, dispatcher, clock, on_bad_request, on_answer, account
    ):
        """Returns the handler of callers' requests."""
        return _callers.CallerHandler(
            dispatcher, clock, on_bad_request, on_answer, account
        )

    def make_readiness_handler(self, is_ready):
        """Returns the handler of readiness checks."""
        return _callers.ReadinessHandler(is_ready)

    def make_directory_handler(self, choose_endpoints, ttl_s):
        """Returns the handler of callers' address look-ups."""
        return _callers.DirectoryHandler(choose_endpoints, ttl_s)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(path_type=pathlib.Path),
    default=lambda: os.environ.get(SETTINGS_VARIABLE),
    required=True,
    help=f"YAML settings file; default: the path in {SETTINGS_VARIABLE}.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: pathlib.Path, check: bool) -> None:
    """Runs the daemon of one entry VM until SIGTERM."""
    if check:
        sys.exit(_check(pathlib.Path(path)))
    sys.exit(_run(pathlib.Path(path)))


def _check(path: pathlib.Path) -> endings.ExitCode:
    try:
        entry_daemon.read_entry_settings(path)
    except errors.DocumentError as error:
        click.echo(str(error), err=True)
        return endings.ExitCode.BAD_SETTINGS
    return endings.ExitCode.PLANNED


def _run(path: pathlib.Path) -> endings.ExitCode:
    vm = ""
    try:
        settings, unknown_settings = _read_settings(path)
        vm = settings.vm
        gc_tuning.tune()
        malloc_tuning.tune()
        return asyncio.run(_run_daemon(path, settings, unknown_settings))
    except errors.DocumentError as error:
        signal_name = signals.pending_end()
        if signal_name is not None:
            return _log_end(vm, endings.of_signal(signal_name))
        standard_error.write_line(str(error))
        return _log_end(vm, endings.of_settings(error))
    except Exception as error:
        return _log_end(vm, endings.of_error("process", error))


def _read_settings(
    path: pathlib.Path,
) -> tuple[serving.EntrySettings, list[errors.DocumentError]]:
    """Returns the settings and the errors of those that were ignored."""

    def read():
        unknown_settings = []
        settings = entry_daemon.read_entry_settings(
            path, unknown_settings.append
        )
        return settings, unknown_settings

    return settings_wait.read_when_complete(
        read, lambda: signals.pending_end() is not None, clocks.Clock()
    )


def _log_end(vm: str, ending: endings.Ending) -> endings.ExitCode:
    """Writes the last log line of a process whose daemon does not run."""
    log = entry.DecisionLog(vm, clocks.Clock())
    log.write("ended", **ending.fields)
    log.close()
    return ending.code


async def _run_daemon(
    path: pathlib.Path,
    settings: serving.EntrySettings,
    unknown_settings: list[errors.DocumentError],
) -> endings.ExitCode:
    daemon = entry_daemon.EntryDaemon(
        path,
        settings,
        unknown_settings,
        PlatformAdapter(),
        clocks.Clock(),
        random.Random(),
    )
    return await daemon.run()
