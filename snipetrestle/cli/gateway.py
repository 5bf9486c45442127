"""``snipetrestle gateway``: runs a gateway on the users' platform."""

from dataclasses import dataclass

import anyio
import cappa


@cappa.command(name="gateway", help="Run a gateway on the users' platform.")
@dataclass
class Gateway:
    """Reads the settings file that SNIPETRESTLE_CONFIG names.

    The same as ``python3 -m snipetrestle.platform``, which starts without the command
    line's imports. Exits with 3 if the settings are invalid.
    """

    def __call__(self):
        # Imported here, so that the other sub-commands start without it.
        from snipetrestle.platform.__main__ import main

        anyio.run(main)
