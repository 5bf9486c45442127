"""Output of the command line: JSON, tables and exit codes."""

import enum

import cappa
import msgspec
from rich.console import Console
from rich.table import Table


class ExitCode(enum.IntEnum):
    """Exit codes of all sub-commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    UNREACHABLE = 4


def print_json(value):
    """Prints structs or plain data as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(columns, rows):
    """Prints a table. Without a terminal it is 200 characters wide, to avoid cuts."""
    console = Console()
    if not console.is_terminal:
        console = Console(width=200)
    table = Table(*columns, box=None, pad_edge=False, header_style="bold")
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    console.print(table)


def fail(message, code=ExitCode.FAILED):
    """Exits with an error message on standard error."""
    raise cappa.Exit(message, code=code)
