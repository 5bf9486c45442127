"""``snipetrestle confirm-stopped``: tells the daemons that a host is stopped for good."""

import urllib.parse
from dataclasses import dataclass
from typing import Annotated

import cappa

from snipetrestle.cli.output import print_json
from snipetrestle.cli.remote import Authority, Json, RemoteCommand, Url


@cappa.command(
    name="confirm-stopped",
    help="Confirm that a daemon's host is stopped, so that its copies may be unloaded.",
)
@dataclass
class ConfirmStopped(RemoteCommand):
    """Frees the copies of a lost daemon at engines that ignore fencing numbers.

    Ask each daemon that owns such a replica. A daemon that still runs must never be
    confirmed: its requests could lose their adapter.
    """

    name: Annotated[str, cappa.Arg(help="Name of the daemon whose host is stopped.")]
    url: Url = RemoteCommand.url
    authority: Authority = None
    json: Json = False

    def __call__(self):
        path = "/v1/confirm-stopped?" + urllib.parse.urlencode({"name": self.name})
        self.call(lambda client: client.post(path))
        if self.json:
            print_json({"confirmed": self.name})
        else:
            print(f"confirmed: {self.name} is stopped")
