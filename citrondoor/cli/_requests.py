"""Commands of callers: entries, search and run."""

import click

from citrondoor import errors
from citrondoor.cli import _client
from citrondoor.cli import _output

_DEADLINE = click.option("--deadline-ms", default=2000, show_default=True)
_ID = click.option(
    "--id", "request_id", help="Id of an earlier request, to repeat it."
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
EXTRA_WAIT_MS = 1000


@click.command()
@click.option("--zone", default="", help="Zone of the caller.")
@_JSON
@click.pass_obj
def entries(daemons: _client.DaemonClient, zone: str, as_json: bool) -> None:
    """Shows which entries to use, and a new session."""
    reply = _ask(daemons, f"/v1/entries?zone={zone}")
    if as_json:
        _output.print_json(reply.content)
        return
    rows = [[e["vm"], e["zone"], e["url"]] for e in reply.content["entries"]]
    _output.print_table(["vm", "zone", "url"], rows)
    click.echo(f"keep for {reply.content['keep_ms']} ms")
    click.echo(f"session {reply.content['session']}")


@click.command()
@click.argument("backend")
@click.argument("query")
@click.option("--top", default=10, show_default=True, help="0 lists all.")
@click.option("--shard", "shards", multiple=True, help="Ask only this shard.")
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
    """Searches a back end."""
    content = {
        "id": request_id or _new_id(daemons),
        "backend": backend,
        "query": query,
        "top": top,
        "shards": list(shards),
        "deadline_ms": deadline_ms,
    }
    reply = _ask(daemons, "/v1/search", content, deadline_ms + EXTRA_WAIT_MS)
    _refuse_unless_ok(reply, as_json)
    if as_json:
        _output.print_json(reply.content)
        return
    answer = reply.content
    rows = [[h["score"], h["record"], h["shard"]] for h in answer["hits"]]
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
    """Runs a non-idempotent request at most once."""
    content = {
        "id": request_id or _new_id(daemons),
        "backend": backend,
        "body": body,
        "deadline_ms": deadline_ms,
    }
    reply = _ask(daemons, "/v1/run", content, deadline_ms + EXTRA_WAIT_MS)
    _refuse_unless_ok(reply, as_json)
    if as_json:
        _output.print_json(reply.content)
        return
    click.echo(f"{reply.content['result']} (id {reply.content['id']})")


def _new_id(daemons: _client.DaemonClient) -> str:
    reply = _ask(daemons, "/v1/entries")
    return f"{reply.content['session']}.1"


def _ask(
    daemons: _client.DaemonClient,
    path: str,
    content: dict | None = None,
    timeout_ms: int = _client.TIMEOUT_MS,
) -> _client.Reply:
    try:
        return daemons.ask_first(path, content, timeout_ms)
    except errors.PeerUnreachableError as error:
        _output.fail(str(error), _output.EXIT_UNREACHABLE)


def _refuse_unless_ok(reply: _client.Reply, as_json: bool) -> None:
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
