"""Generates the reference pages of the documentation from the code.

``python -m snipetrestle.reference docs`` writes the pages of result codes and events.
A test checks that the committed pages are up to date.
"""

import pathlib
import sys

from snipetrestle.cli.output import ExitCode
from snipetrestle.codes import ResultCode
from snipetrestle.events import Event

_CODES_HEADER = """\
# Result codes

Written by `python -m snipetrestle.reference docs`. `snipetrestle explain SN-NUMBER` prints
one row. The outcome states whether the request ran: `did_not_run` is reported only if
that is certain, and `outcome_unknown` means that it may have run.

| code | name | HTTP status | outcome | retry can help | meaning |
| --- | --- | --- | --- | --- | --- |
"""

_EXIT_HEADER = """
## Exit codes of the command line

| code | name |
| --- | --- |
"""

_EVENTS_HEADER = """\
# Event catalogue

Written by `python -m snipetrestle.reference docs`. Each log record of an event carries its
number in the field `event`. `snipetrestle explain EV-NUMBER` prints one row.

| event | name | level | message |
| --- | --- | --- | --- |
"""


def codes_page():
    """Returns the Markdown page of result codes and exit codes."""
    rows = [
        f"| {code} | {code.name} | {code.http_status} | {code.outcome} | "
        f"{'yes' if code.retryable else 'no'} | {code.meaning} |\n"
        for code in sorted(ResultCode, key=lambda code: code.number)
    ]
    exits = [f"| {int(code)} | {code.name} |\n" for code in ExitCode]
    return _CODES_HEADER + "".join(rows) + _EXIT_HEADER + "".join(exits)


def events_page():
    """Returns the Markdown page of events."""
    rows = [
        f"| {event} | {event.name} | {event.level} | {event.message} |\n"
        for event in sorted(Event, key=lambda event: event.number)
    ]
    return _EVENTS_HEADER + "".join(rows)


pages_by_name = {"result-codes.md": codes_page, "events.md": events_page}


def main(folder):
    """Writes all pages into a folder."""
    for name, build_page in pages_by_name.items():
        (pathlib.Path(folder) / name).write_text(build_page())


if __name__ == "__main__":
    main(sys.argv[1])
