"""``snipetrestle confirm-stopped``: confirms that a host is permanently stopped."""

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
    """Releases a failed daemon's adapter copies on engines that ignore fencing numbers.

    Call each daemon that owns a replica at an engine that ignores fencing numbers.
    Never confirm a daemon that still runs, since its requests could lose their adapter.
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
