"""``snipetrestle drain``: shuts a daemon down gracefully."""

import time
from dataclasses import dataclass
from typing import Annotated

import cappa

from snipetrestle.cli.output import ExitCode, fail, print_json
from snipetrestle.cli.remote import Authority, Json, RemoteCommand, Url
from snipetrestle.operators.client import OperatorCallFailed
from snipetrestle.operators.reports import DaemonReport

POLL_INTERVAL_S = 0.5


@cappa.command(name="drain", help="Hand over a daemon's work, finish streams and stop.")
@dataclass
class Drain(RemoteCommand):
    """Exits with 0 once the daemon has stopped or with ``--wait 0``, else with 1."""

    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False
    wait: Annotated[
        float, cappa.Arg(long=True, help="Seconds to wait for the stop; 0: none.")
    ] = 60.0

    def __call__(self):
        stopped = self.call(self._drain)
        if self.json:
            print_json({"stopped": stopped})
        else:
            print("stopped" if stopped else "draining")
        if self.wait and not stopped:
            fail(f"the daemon has not stopped within {self.wait} s", ExitCode.FAILED)

    def _drain(self, client):
        """Starts the drain. Returns whether the daemon stopped within the wait time."""
        client.post("/v1/drain")
        deadline = time.monotonic() + self.wait
        while time.monotonic() < deadline:
            try:
                client.get("/v1/status", DaemonReport)
            except OperatorCallFailed:
                return True
            time.sleep(POLL_INTERVAL_S)
        return False
