"""Commands that read declarations: check, diff and contract show."""

import pathlib

import click

from citrondoor import declarations as declared
from citrondoor import errors
from citrondoor.cli import _client
from citrondoor.cli import _output
from citrondoor.schema import declarations

_DIRECTORY = click.argument(
    "directory", type=click.Path(exists=True, path_type=pathlib.Path)
)
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.command()
@_DIRECTORY
@_JSON
def check(directory: pathlib.Path, as_json: bool) -> None:
    """Checks declarations offline; exits with 1 when they contradict."""
    problems = declared.check(_read(directory))
    if as_json:
        _output.print_json({"problems": [str(p) for p in problems]})
    else:
        for problem in problems:
            click.echo(str(problem))
        click.echo(f"{len(problems)} problems")
    raise SystemExit(_output.EXIT_PROBLEM if problems else _output.EXIT_OK)


@click.command()
@_DIRECTORY
@click.option(
    "--against",
    type=click.Path(exists=True, path_type=pathlib.Path),
    help="Compare with this directory and not with what is in force.",
)
@_JSON
@click.pass_obj
def diff(
    daemons: _client.DaemonClient,
    directory: pathlib.Path,
    against: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Shows what declarations would change; exits with 1 if they would."""
    after = declared.summarize(_read(directory))
    if against is not None:
        before = declared.summarize(_read(against))
    else:
        before = _in_force(daemons)
    differences = declared.compare(before, after)
    if as_json:
        content = [
            {"key": d.key, "change": d.change, "details": d.details}
            for d in differences
        ]
        _output.print_json({"differences": content})
    else:
        for difference in differences:
            click.echo(f"{difference.change} {difference.key}")
            for line in difference.details:
                click.echo(f"  {line}")
    raise SystemExit(_output.EXIT_PROBLEM if differences else _output.EXIT_OK)


@click.group()
def contract() -> None:
    """Shows contracts."""


@contract.command()
@_DIRECTORY
@click.argument("customer")
@_JSON
def show(directory: pathlib.Path, customer: str, as_json: bool) -> None:
    """Shows one customer's contract and where its shares are."""
    catalogue = declared.Catalogue(_read(directory))
    found = catalogue.contracts.get(customer)
    if found is None:
        known = ", ".join(sorted(catalogue.contracts))
        _output.fail(
            f"{customer!r} has no contract; known are: {known}",
            _output.EXIT_PROBLEM,
        )
    content = _contract_content(found)
    if as_json:
        _output.print_json(content)
        return
    _output.print_table(["term", "value"], [[k, v] for k, v in content.items()])


def _in_force(daemons: _client.DaemonClient) -> list[declared.Summary]:
    try:
        reply = daemons.ask_first("/v1/configuration")
    except errors.PeerUnreachableError as error:
        _output.fail(str(error), _output.EXIT_UNREACHABLE)
    if not reply.is_ok:
        _output.fail(
            f"{reply.url} refused: {reply.content.get('detail')}; give the"
            " operators' key with --key",
            _output.EXIT_REFUSED,
        )
    documents = reply.content["documents"]
    return [declared.Summary(key, items) for key, items in documents.items()]


def _contract_content(found: declarations.Contract) -> dict:
    latency = found.policy.latency_first
    policy = (
        f"latency first, {latency.target_ms} ms"
        if latency
        else "coverage first"
    )
    return {
        "customer": found.customer,
        "back ends": ", ".join(found.backends),
        "requests a second": found.rate_per_s,
        "burst": found.burst,
        "requests a month": found.monthly_quantity or "unlimited",
        "shards a query": found.max_shards,
        "results a query": found.max_results,
        "answers": policy,
        "keys": len(found.key_digests),
    }


def _read(directory: pathlib.Path) -> list[declarations.Document]:
    try:
        return declared.read_directory(directory)
    except errors.DocumentError as error:
        _output.fail(str(error), _output.EXIT_USAGE)
