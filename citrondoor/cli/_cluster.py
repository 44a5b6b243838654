"""Commands for operators: status, timeline and counts of all daemons."""

import datetime
import time

import click

from citrondoor import clock as clocks
from citrondoor.cli import _client
from citrondoor.cli import _output

FOLLOW_INTERVAL_S = 1.0
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.command()
@_JSON
@click.pass_obj
def status(daemons: _client.DaemonClient, as_json: bool) -> None:
    """Shows each daemon's status; exits with 3 if one does not report it."""
    replies = daemons.request_all("/v1/status")
    if as_json:
        _output.print_json({reply.url: reply.content for reply in replies})
    else:
        header = ["url", "vm", "zone", "state", "revision", "queries", "cold"]
        _output.print_table(header, [_status_row(reply) for reply in replies])
    if not all(reply.is_ok for reply in replies):
        raise SystemExit(_output.EXIT_UNREACHABLE)


@click.command()
@click.option(
    "--after", default=0, help="Only events after this Unix time in ms."
)
@click.option("--vm", help="Only events of this VM.")
@click.option("--kind", help="Only events whose kind starts with this text.")
@click.option(
    "--follow", is_flag=True, help="Show new events until interrupted."
)
@_JSON
@click.pass_obj
def timeline(
    daemons: _client.DaemonClient,
    after: int,
    vm: str | None,
    kind: str | None,
    follow: bool,
    as_json: bool,
) -> None:
    """Shows the events of all daemons that report them, in order of time."""
    while True:
        events = _read_events(daemons, after)
        shown = [
            event
            for event in events
            if (vm is None or event["vm"] == vm)
            and (kind is None or event["kind"].startswith(kind))
        ]
        _print_events(shown, as_json)
        if not follow:
            return
        after = max([after, *(event["wall_ms"] for event in events)])
        time.sleep(FOLLOW_INTERVAL_S)


@click.command()
@click.option("--month", help="YYYY-MM in UTC; default: the current month.")
@_JSON
@click.pass_obj
def counts(
    daemons: _client.DaemonClient, month: str | None, as_json: bool
) -> None:
    """Shows the requests of each customer; exits with 1 if incomplete."""
    month = month or clocks.month_of(clocks.Clock().unix_ms())
    replies = [
        reply
        for reply in daemons.request_all(f"/v1/counts?month={month}")
        if reply.status
    ]
    answers = [reply for reply in replies if reply.is_ok]
    if not answers:
        reason = replies[0].content.get("detail") if replies else "unreachable"
        _output.fail(
            f"no daemon returned its counts: {reason}", _output.EXIT_REFUSED
        )
    # Counts only increase, and each daemon merges the counts of the peers that
    # it reaches before it replies. The largest sum is the most complete.
    most_complete = max(
        answers, key=lambda reply: sum(reply.content["customers"].values())
    )
    content = most_complete.content
    if as_json:
        _output.print_json(content)
    else:
        rows = [
            [customer, count]
            for customer, count in sorted(content["customers"].items())
        ]
        _output.print_table(["customer", f"requests in {month}"], rows)
        unreachable_vms = ", ".join(content["unheard"]) or "none"
        completeness = "complete" if content["complete"] else "INCOMPLETE"
        click.echo(f"{completeness}; not heard: {unreachable_vms}")
    if not content["complete"]:
        raise SystemExit(_output.EXIT_PROBLEM)


def _status_row(reply: _client.Reply) -> list:
    if not reply.is_ok:
        return [reply.url, "", "", "unreachable", "", "", ""]
    content = reply.content
    counters = content["counters"]
    return [
        reply.url,
        content["vm"],
        content["zone"],
        content["state"],
        content["revision"],
        counters["queries"],
        counters["upstream.cold"],
    ]


def _read_events(daemons: _client.DaemonClient, after: int) -> list[dict]:
    replies = daemons.request_all(f"/v1/timeline?after={after}")
    events = [
        event
        for reply in replies
        if reply.is_ok
        for event in reply.content["events"]
    ]
    return sorted(events, key=lambda event: (event["wall_ms"], event["vm"]))


def _print_events(events: list[dict], as_json: bool) -> None:
    for event in events:
        if as_json:
            _output.print_json(event)
            continue
        time_utc = datetime.datetime.fromtimestamp(
            event["wall_ms"] / clocks.MS_PER_S, tz=datetime.UTC
        )
        timestamp = time_utc.strftime("%H:%M:%S.%f")[:-3]
        click.echo(
            f"{timestamp} {event['vm']:<10} {event['kind']:<24}"
            f" {event['detail']}"
        )
