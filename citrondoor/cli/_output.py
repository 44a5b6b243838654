"""Exit codes and printing of tables, JSON and errors.

Output has colours and indented JSON only on a terminal.
"""

import sys

import click
import orjson

EXIT_OK = 0
EXIT_PROBLEM = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_REFUSED = 4

_COLOUR_BY_VALUE = {
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
    """Prints a value as JSON, indented if the output is a terminal."""
    option = orjson.OPT_INDENT_2 if sys.stdout.isatty() else 0
    click.echo(orjson.dumps(content, option=option).decode())


def print_table(header: list[str], rows: list[list]) -> None:
    """Prints a header and rows, with columns padded to equal width."""
    texts = [[str(value) for value in row] for row in [header, *rows]]
    widths = [
        max(len(row[column]) for row in texts) for column in range(len(header))
    ]
    for row_index, row in enumerate(texts):
        cells = [
            _style_cell(value.ljust(width), value, row_index == 0)
            for value, width in zip(row, widths, strict=True)
        ]
        click.echo("  ".join(cells).rstrip())


def fail(message: str, code: int) -> None:
    """Prints a message on standard error and exits with `code`."""
    click.echo(message, err=True)
    sys.exit(code)


def _style_cell(text: str, value: str, is_header: bool) -> str:
    # click.echo strips the colours when the output is not a terminal.
    if is_header:
        return click.style(text, bold=True)
    return click.style(text, fg=_COLOUR_BY_VALUE.get(value))
