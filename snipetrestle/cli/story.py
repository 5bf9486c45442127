"""``snipetrestle story``: the log lines that explain one request."""

import datetime
import pathlib
from dataclasses import dataclass
from typing import Annotated

import cappa
import msgspec

from snipetrestle.cli.output import ExitCode, fail

# How long before the request's last line its replicas' lines are shown.
BEFORE_S = 3.0


@cappa.command(
    name="story", help="Show the log lines of a request and of its replicas."
)
@dataclass
class Story:
    """Exits with 0, or with 3 if no line names the request."""

    request: Annotated[str, cappa.Arg(help="The request's id.")]
    files: Annotated[
        list[pathlib.Path], cappa.Arg(num_args=-1, help="Logs of one or more hosts.")
    ]

    def __call__(self):
        lines = [line for path in self.files for line in read_lines(path)]
        story = tell(self.request, lines)
        if not story:
            fail(f"no line names {self.request}", ExitCode.INVALID_INPUT)
        for line in story:
            print(msgspec.json.encode(line).decode())


def read_lines(path):
    """Returns the JSON lines of a log as mappings; other lines are left out."""
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
            lines.append(line)
    return lines


def tell(request, lines):
    """Returns the lines of a request and of the replicas it met, by time."""
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return []
    replicas = {name for line in own for name in line.get("sent_to", ())}
    end = max(_seconds(line) for line in own)
    around = [
        line
        for line in lines
        if line.get("replica") in replicas and end - BEFORE_S <= _seconds(line) <= end
    ]
    return sorted([*own, *around], key=_seconds)


def _seconds(line):
    return datetime.datetime.fromisoformat(line["time"]).timestamp()
