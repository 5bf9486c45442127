"""``snipetrestle gateway``: runs a gateway daemon on the users' platform."""

from dataclasses import dataclass

import anyio
import cappa


@cappa.command(name="gateway", help="Run a gateway on the users' platform.")
@dataclass
class Gateway:
    """Runs a gateway with the settings file in the variable SNIPETRESTLE_CONFIG.

    Equivalent to ``python3 -m snipetrestle.platform``, which starts without the imports
    of the command line. Exits with 3 if the settings are invalid.
    """

    def __call__(self):
        # A local import keeps the start of the other sub-commands fast.
        from snipetrestle.gateway.callers.arrival_times import RUN_OPTIONS
        from snipetrestle.platform.__main__ import main

        anyio.run(main, backend_options=RUN_OPTIONS)
