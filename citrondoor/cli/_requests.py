"""Commands that act as a caller: entries, search and run."""

import click

from citrondoor import errors
from citrondoor.cli import _client
from citrondoor.cli import _output

_DEADLINE = click.option("--deadline-ms", default=2000, show_default=True)
_ID = click.option(
    "--id", "request_id", help="ID of an earlier request, to send it again."
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
# The daemon replies by the deadline; the reply may take this much longer to
# arrive.
EXTRA_WAIT_MS = 1000


@click.command()
@click.option("--zone", default="", help="Zone of the caller.")
@_JSON
@click.pass_obj
def entries(daemons: _client.DaemonClient, zone: str, as_json: bool) -> None:
    """Shows the daemons to send requests to, and a new session."""
    reply = _request(daemons, f"/v1/entries?zone={zone}")
    if as_json:
        _output.print_json(reply.content)
        return
    rows = [
        [entry["vm"], entry["zone"], entry["url"]]
        for entry in reply.content["entries"]
    ]
    _output.print_table(["vm", "zone", "url"], rows)
    click.echo(f"keep for {reply.content['keep_ms']} ms")
    click.echo(f"session {reply.content['session']}")


@click.command()
@click.argument("backend")
@click.argument("query")
@click.option(
    "--top",
    default=10,
    show_default=True,
    help="Maximum number of hits; 0 for as many as the contract allows.",
)
@click.option(
    "--shard",
    "shards",
    multiple=True,
    help="Search only this shard; may be repeated.",
)
@_DEADLINE
@_ID
@_JSON
@click.pass_obj
def search(
    daemons: _client.DaemonClient,
    backend: str,
    query: str,
    top: int,
    shards: tuple[str, ...],
    deadline_ms: int,
    request_id: str | None,
    as_json: bool,
) -> None:
    """Searches a back end.

    The deadline is the time from the request's arrival at the daemon, in ms.
    """
    content = {
        "id": request_id or _new_id(daemons),
        "backend": backend,
        "query": query,
        "top": top,
        "shards": list(shards),
        "deadline_ms": deadline_ms,
    }
    reply = _request(
        daemons, "/v1/search", content, deadline_ms + EXTRA_WAIT_MS
    )
    _exit_if_refused(reply, as_json)
    if as_json:
        _output.print_json(reply.content)
        return
    answer = reply.content
    rows = [
        [hit["score"], hit["record"], hit["shard"]] for hit in answer["hits"]
    ]
    _output.print_table(["score", "record", "shard"], rows)
    coverage = answer["coverage"]
    click.echo(
        f"snapshot {answer['snapshot']}, shards"
        f" {coverage['shards_answered']}/{coverage['shards_total']}, records"
        f" {coverage['records_answered']}/{coverage['records_total']}, id"
        f" {answer['id']}"
    )


@click.command()
@click.argument("backend")
@click.argument("body")
@_DEADLINE
@_ID
@_JSON
@click.pass_obj
def run(
    daemons: _client.DaemonClient,
    backend: str,
    body: str,
    deadline_ms: int,
    request_id: str | None,
    as_json: bool,
) -> None:
    """Runs a non-idempotent request at most once.

    The deadline is the time from the request's arrival at the daemon, in ms.
    """
    content = {
        "id": request_id or _new_id(daemons),
        "backend": backend,
        "body": body,
        "deadline_ms": deadline_ms,
    }
    reply = _request(daemons, "/v1/run", content, deadline_ms + EXTRA_WAIT_MS)
    _exit_if_refused(reply, as_json)
    if as_json:
        _output.print_json(reply.content)
        return
    click.echo(f"{reply.content['result']} (id {reply.content['id']})")


def _new_id(daemons: _client.DaemonClient) -> str:
    reply = _request(daemons, "/v1/entries")
    return f"{reply.content['session']}.1"


def _request(
    daemons: _client.DaemonClient,
    path: str,
    content: dict | None = None,
    timeout_ms: int = _client.TIMEOUT_MS,
) -> _client.Reply:
    try:
        return daemons.request_first(path, content, timeout_ms)
    except errors.PeerUnreachableError as error:
        _output.fail(str(error), _output.EXIT_UNREACHABLE)


def _exit_if_refused(reply: _client.Reply, as_json: bool) -> None:
    if reply.is_ok:
        return
    content = reply.content
    if as_json:
        _output.print_json(content)
        raise SystemExit(_output.EXIT_REFUSED)
    _output.fail(
        f"refused as {content.get('refused')}: {content.get('detail')}; ran:"
        f" {content.get('ran')}; {content.get('remedy')}",
        _output.EXIT_REFUSED,
    )
