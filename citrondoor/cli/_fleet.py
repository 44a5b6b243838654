"""Commands of operators: status, timeline and counts."""

import datetime
import time

import click

from citrondoor import clock as clocks
from citrondoor.cli import _client
from citrondoor.cli import _output

FOLLOW_EVERY_S = 1.0
_JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.command()
@_JSON
@click.pass_obj
def status(daemons: _client.DaemonClient, as_json: bool) -> None:
    """Shows every daemon; exits with 3 when one cannot be reached."""
    replies = daemons.ask_all("/v1/status")
    if as_json:
        _output.print_json({r.url: r.content for r in replies})
    else:
        header = ["url", "vm", "zone", "state", "revision", "queries", "cold"]
        _output.print_table(header, [_status_row(r) for r in replies])
    if not all(reply.is_ok for reply in replies):
        raise SystemExit(_output.EXIT_UNREACHABLE)


@click.command()
@click.option("--after", default=0, help="Wall reading in ms.")
@click.option("--vm", help="Only events of this VM.")
@click.option("--kind", help="Only events whose kind starts like this.")
@click.option("--follow", is_flag=True, help="Go on until interrupted.")
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
    """Shows the events of all daemons in one order."""
    while True:
        events = _events(daemons, after)
        shown = [
            e
            for e in events
            if (vm is None or e["vm"] == vm)
            and (kind is None or e["kind"].startswith(kind))
        ]
        _print_events(shown, as_json)
        if not follow:
            return
        after = max([after, *(e["wall_ms"] for e in events)])
        time.sleep(FOLLOW_EVERY_S)


@click.command()
@click.option("--month", help="YYYY-MM, UTC; the present one by default.")
@_JSON
@click.pass_obj
def counts(
    daemons: _client.DaemonClient, month: str | None, as_json: bool
) -> None:
    """Shows each customer's requests; exits with 1 when they are incomplete."""
    month = month or clocks.month_of(clocks.Clock().unix_ms())
    replies = [
        r for r in daemons.ask_all(f"/v1/counts?month={month}") if r.status
    ]
    answers = [r for r in replies if r.is_ok]
    if not answers:
        reason = replies[0].content.get("detail") if replies else "unreachable"
        _output.fail(
            f"no daemon told its counts: {reason}", _output.EXIT_REFUSED
        )
    # Counts only grow: the daemon that knows most knows what others do.
    best = max(answers, key=lambda r: sum(r.content["customers"].values()))
    content = best.content
    if as_json:
        _output.print_json(content)
    else:
        rows = [[c, n] for c, n in sorted(content["customers"].items())]
        _output.print_table(["customer", f"requests in {month}"], rows)
        unheard = ", ".join(content["unheard"]) or "none"
        word = "complete" if content["complete"] else "INCOMPLETE"
        click.echo(f"{word}; not heard: {unheard}")
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


def _events(daemons: _client.DaemonClient, after: int) -> list[dict]:
    replies = daemons.ask_all(f"/v1/timeline?after={after}")
    events = [e for r in replies if r.is_ok for e in r.content["events"]]
    return sorted(events, key=lambda e: (e["wall_ms"], e["vm"]))


def _print_events(events: list[dict], as_json: bool) -> None:
    for event in events:
        if as_json:
            _output.print_json(event)
            continue
        moment = datetime.datetime.fromtimestamp(
            event["wall_ms"] / clocks.MS_PER_S, tz=datetime.UTC
        )
        stamp = moment.strftime("%H:%M:%S.%f")[:-3]
        click.echo(
            f"{stamp} {event['vm']:<10} {event['kind']:<24} {event['detail']}"
        )
