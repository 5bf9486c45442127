"""Command line. Each sub-command is a callable class in one of these modules."""

import dataclasses
import typing

import cappa

from snipetrestle.cli.check import Check
from snipetrestle.cli.confirm_stopped import ConfirmStopped
from snipetrestle.cli.demo import Demo
from snipetrestle.cli.drain import Drain
from snipetrestle.cli.explain import Explain
from snipetrestle.cli.gateway import Gateway
from snipetrestle.cli.reports import Adapters, Contracts, Replicas, Status
from snipetrestle.cli.serve import Serve
from snipetrestle.cli.story import Story

# Callable classes that return the exit status or None.
SUB_COMMANDS = (
    Serve,
    Gateway,
    Check,
    Status,
    Contracts,
    Adapters,
    Replicas,
    Drain,
    ConfirmStopped,
    Explain,
    Story,
    Demo,
)


@cappa.command(
    name="snipetrestle",
    help="Serving layer for very many LoRA adapters on a shared fleet of engines.",
)
@dataclasses.dataclass(slots=True)
class Command:
    """Top-level command."""

    sub_command: cappa.Subcommands[typing.Union[SUB_COMMANDS]]  # noqa: UP007


def main(argv=None):
    """Runs the command line and returns the exit status."""
    return cappa.invoke(Command, argv=argv)
