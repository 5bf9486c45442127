"""``snipetrestle story``: prints the log lines that are relevant to one request."""

import datetime
import pathlib
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from snipetrestle.cli.output import ExitCode, fail

# Lines of the request's replicas are printed from this time before its last line on.
REPLICA_LINES_S = 3.0


@cappa.command(
    name="story", help="Show the log lines of a request and of its replicas."
)
@dataclass
class Story:
    """Prints the lines by time. Exits with 0, or with 3 if the request has none."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    files: Annotated[
        list[pathlib.Path], cappa.Arg(num_args=-1, help="Logs of one or more hosts.")
    ]

    def __call__(self):
        lines = [line for path in self.files for line in read_lines(path)]
        selected_lines = select_lines(self.request, lines)
        if not selected_lines:
            fail(f"no line has the request id {self.request}", ExitCode.INVALID_INPUT)
        for line in selected_lines:
            print(msgspec.json.encode(line).decode())


def read_lines(path):
    """Returns the JSON lines of a log file as mappings. Other lines are ignored."""
    return [line for _, line in read_prefixed_lines(path)]


def read_prefixed_lines(path):
    """Returns (text before it, mapping) for each JSON line of a log file."""
    lines = []
    for text in path.read_text(errors="replace").splitlines():
        start = text.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(line, dict) and "time" in line:
            lines.append((text[:start], line))
    return lines


def select_lines(request, lines):
    """Returns the lines of a request and of the replicas it was sent to, by time."""
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return []
    replicas = {name for line in request_lines for name in line.get("sent_to", ())}
    end = max(_seconds(line) for line in request_lines)
    replica_lines = [
        line
        for line in lines
        if line.get("replica") in replicas
        and end - REPLICA_LINES_S <= _seconds(line) <= end
    ]
    return sorted([*request_lines, *replica_lines], key=_seconds)


def _seconds(line):
    return datetime.datetime.fromisoformat(line["time"]).timestamp()
