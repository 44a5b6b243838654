"""Prints tables and JSON; colour only on a terminal."""

import sys

import click
import orjson

EXIT_OK = 0
EXIT_PROBLEM = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_REFUSED = 4

_COLOURS = {
    "alive": "green",
    "serving": "green",
    "in": "green",
    "suspect": "yellow",
    "leaving": "yellow",
    "joining": "yellow",
    "dead": "red",
    "out": "red",
    "unreachable": "red",
}


def print_json(content) -> None:
    """Prints JSON, indented on a terminal."""
    option = orjson.OPT_INDENT_2 if sys.stdout.isatty() else 0
    click.echo(orjson.dumps(content, option=option).decode())


def print_table(header: list[str], rows: list[list]) -> None:
    """Prints a table with columns as wide as their longest value."""
    texts = [[str(value) for value in row] for row in [header, *rows]]
    widths = [max(len(row[i]) for row in texts) for i in range(len(header))]
    for number, row in enumerate(texts):
        cells = [
            _paint(value.ljust(width), value, number == 0)
            for value, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def fail(message: str, code: int) -> None:
    """Prints one line on standard error and ends with an exit code."""
    click.echo(message, err=True)
    sys.exit(code)


def _paint(text: str, value: str, is_header: bool) -> str:
    # click strips the colours when the output is no terminal.
    if is_header:
        return click.style(text, bold=True)
    return click.style(text, fg=_COLOURS.get(value))
