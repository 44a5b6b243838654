"""Entry point of the command `citrondoorctl`."""

import click

import citrondoor
from citrondoor.cli import _client
from citrondoor.cli import _cluster
from citrondoor.cli import _declarations
from citrondoor.cli import _requests


@click.group(
    epilog="Exit codes: 0 done, 1 a problem was found, 2 wrong usage or"
    " unreadable or invalid declarations, 3 no daemon replied (status: a daemon"
    " did not report its status), 4 the request was refused (counts: no daemon"
    " returned its counts)."
)
@click.version_option(citrondoor.__version__)
@click.option(
    "--entry",
    "entries",
    multiple=True,
    envvar="CITRONDOOR_ENTRIES",
    default=["http://127.0.0.1:22000"],
    help="URL of a daemon; may be repeated.",
)
@click.option(
    "--key",
    envvar="CITRONDOOR_KEY",
    default="",
    help="Key of a customer or of the operators.",
)
@click.pass_context
def main(context: click.Context, entries: tuple[str, ...], key: str) -> None:
    """Queries citrondoor daemons and checks their declarations."""
    context.obj = _client.DaemonClient(list(entries), key)


main.add_command(_declarations.check)
main.add_command(_declarations.diff)
main.add_command(_declarations.contract)
main.add_command(_requests.entries)
main.add_command(_requests.search)
main.add_command(_requests.run)
main.add_command(_cluster.status)
main.add_command(_cluster.timeline)
main.add_command(_cluster.counts)

if __name__ == "__main__":
    main()
