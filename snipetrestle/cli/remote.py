"""Base class and options of the sub-commands that call a running daemon."""

import os
import pathlib
from typing import Annotated

import cappa

from snipetrestle.cli.output import ExitCode, fail, print_json
from snipetrestle.operators.client import OperatorCallFailed, OperatorClient

KEY_VARIABLE = "SNIPETRESTLE_OPERATOR_KEY"

Url = Annotated[
    str, cappa.Arg(long=True, help="Operators' address, such as http://127.0.0.1:8200.")
]
Authority = Annotated[
    pathlib.Path | None,
    cappa.Arg(long=True, help="PEM file that verifies the daemon."),
]
Json = Annotated[bool, cappa.Arg(long=True, help="Print JSON.")]


class RemoteCommand:
    """Base class of sub-commands that call a daemon.

    The operator's API key is read from the environment variable KEY_VARIABLE.
    """

    url = "http://127.0.0.1:8200"
    authority = None
    json = False

    def show(self, path, response_type, print_text):
        """Prints a report as JSON with ``--json``, else by ``print_text(report)``."""
        report = self.call(lambda client: client.get(path, response_type))
        if self.json:
            print_json(report)
        else:
            print_text(report)

    def call(self, action):
        """Returns ``action(client)``. Exits with 4 if the daemon fails to answer."""
        key = os.environ.get(KEY_VARIABLE)
        if not key:
            fail(f"set {KEY_VARIABLE} to an operator's key", ExitCode.USAGE)
        client = OperatorClient(self.url, key, self.authority)
        try:
            return action(client)
        except OperatorCallFailed as error:
            return fail(str(error), ExitCode.UNREACHABLE)
