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
    """Checks declarations offline; exits with 1 if there is a problem."""
    problems = declared.check(_read_declarations(directory))
    if as_json:
        _output.print_json({"problems": [str(problem) for problem in problems]})
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
    help="Compare with this directory instead of the active configuration.",
)
@_JSON
@click.pass_obj
def diff(
    daemons: _client.DaemonClient,
    directory: pathlib.Path,
    against: pathlib.Path | None,
    as_json: bool,
) -> None:
    """Shows what declarations would change; exits with 1 if they differ."""
    after = declared.summarize(_read_declarations(directory))
    if against is not None:
        before = declared.summarize(_read_declarations(against))
    else:
        before = _active_summaries(daemons)
    differences = declared.compare(before, after)
    if as_json:
        content = [
            {
                "key": difference.key,
                "change": difference.change,
                "details": difference.details,
            }
            for difference in differences
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
    """Shows the contract of one customer."""
    catalogue = declared.Catalogue(_read_declarations(directory))
    customer_contract = catalogue.contracts.get(customer)
    if customer_contract is None:
        customers = ", ".join(sorted(catalogue.contracts))
        _output.fail(
            f"{customer!r} has no contract; customers with one: {customers}",
            _output.EXIT_PROBLEM,
        )
    content = _contract_content(customer_contract)
    if as_json:
        _output.print_json(content)
        return
    _output.print_table(
        ["term", "value"], [[term, value] for term, value in content.items()]
    )


def _active_summaries(daemons: _client.DaemonClient) -> list[declared.Summary]:
    try:
        reply = daemons.request_first("/v1/configuration")
    except errors.PeerUnreachableError as error:
        _output.fail(str(error), _output.EXIT_UNREACHABLE)
    if not reply.is_ok:
        _output.fail(
            f"{reply.url} refused the request:"
            f" {reply.content.get('detail')}; pass the"
            " operators' key with --key",
            _output.EXIT_REFUSED,
        )
    documents = reply.content["documents"]
    return [declared.Summary(key, items) for key, items in documents.items()]


def _contract_content(customer_contract: declarations.Contract) -> dict:
    latency = customer_contract.policy.latency_first
    policy = (
        f"latency first, {latency.target_ms} ms"
        if latency
        else "coverage first"
    )
    return {
        "customer": customer_contract.customer,
        "back ends": ", ".join(customer_contract.backends),
        "requests a second": customer_contract.rate_per_s,
        "burst": customer_contract.burst,
        "requests a month": customer_contract.monthly_quantity or "unlimited",
        "shards a query": customer_contract.max_shards,
        "results a query": customer_contract.max_results,
        "answers": policy,
        "keys": len(customer_contract.key_digests),
    }


def _read_declarations(directory: pathlib.Path) -> list[declarations.Document]:
    try:
        return declared.read_directory(directory)
    except errors.DocumentError as error:
        _output.fail(str(error), _output.EXIT_USAGE)
