"""``snipetrestle explain``: prints the meaning of a result code or log event."""

import re
from dataclasses import dataclass
from typing import Annotated

import cappa

from snipetrestle.cli.output import ExitCode, fail, print_json
from snipetrestle.codes import codes_by_number
from snipetrestle.events import events_by_number


@cappa.command(name="explain", help="Explain a result code or event, such as SN-1105.")
@dataclass
class Explain:
    """Prints a code's fields. Exits with 0, or with 3 if the code is unknown."""

    code: Annotated[str, cappa.Arg(help="SN-NUMBER or EV-NUMBER.")]
    json: Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = False

    def __call__(self):
        explanation = explain(self.code)
        if explanation is None:
            fail(f"{self.code}: no such code or event", ExitCode.INVALID_INPUT)
        if self.json:
            print_json(explanation)
            return
        for name, value in explanation.items():
            print(f"{name}: {value}")


def explain(text):
    """Returns the fields of a code or event as a mapping, or None if it is unknown."""
    match = re.fullmatch(r"(SN|EV)-(\d+)", text.strip().upper())
    if match is None:
        return None
    prefix, number = match.group(1), int(match.group(2))
    if prefix == "SN" and number in codes_by_number:
        code = codes_by_number[number]
        return {
            "code": str(code),
            "name": code.name,
            "meaning": code.meaning,
            "outcome": str(code.outcome),
            "http_status": code.http_status,
            "retry_can_help": code.retryable,
        }
    if prefix == "EV" and number in events_by_number:
        event = events_by_number[number]
        return {
            "event": str(event),
            "name": event.name,
            "message": event.message,
            "level": event.level,
        }
    return None
